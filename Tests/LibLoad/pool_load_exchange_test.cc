#include "LibLoad/pool_load_exchange.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <memory>
#include <vector>

#include "LibCore/result_code.h"
#include "Tests/LibMembership/gossip_network.h"

namespace wasabi::load {
namespace {

using core::seconds;
using membership::GossipNetwork;
using routing::PoolDemand;

const core::PoolId kPool("catalogue-model");

// An exchange on every member of a network in virtual time.
class ExchangeFleet {
 public:
  ExchangeFleet(int members, uint64_t seed, double early_fall = 0.05)
      : network({members, seed, 0.01, 1 + members / 16}),
        exchanges_(members),
        bytes_(members) {
    network.StartAll();
    network.RunUntil([&] { return network.IsConverged(); }, seconds(60));
    REQUIRE(network.IsConverged());
    for (int i = 0; i < members; ++i) {
      Start(i, early_fall);
    }
    network.SetApplicationHandler(
        [this](int to, const membership::Member& from, const auto& view) {
          const auto kind = static_cast<membership::ApplicationKind>(view.kind);
          exchanges_[to]
              ->OnDatagram(from, kind, view.body, network.now())
              .IgnoreError();
        });
    network.SetTickHandler([this](int node, core::TimePoint now) {
      exchanges_[node]->Tick(*network.protocol(node).table(), now);
    });
  }

  void SetLocal(int node, const PoolDemand& demand) {
    exchanges_[node]->SetLocal(kPool, demand);
  }
  PoolDemand Total(int node) {
    return exchanges_[node]->Total(kPool, network.now());
  }
  PoolLoadExchange& exchange(int node) { return *exchanges_[node]; }
  uint64_t& bytes(int node) { return bytes_[node]; }

  // True when all running members see a mean within `tolerance` of `mean`.
  bool AllSeeMean(double mean, double tolerance) {
    for (int i = 0; i < network.size(); ++i) {
      if (network.IsRunning(i) &&
          std::abs(Total(i).MeanRequests() - mean) > tolerance) {
        return false;
      }
    }
    return true;
  }

  // The aggregator of a member's data centre.
  int AggregatorOf(int node) {
    const auto table = network.protocol(node).table();
    const core::DataCentreId dc = table->Find(network.IdOf(node))->data_centre;
    const auto* aggregator = table->OwnerWithin(
        "pool/" + kPool.value(), membership::MemberRole::kRouter, dc);
    for (int i = 0; i < network.size(); ++i) {
      if (network.IdOf(i) == aggregator->id) {
        return i;
      }
    }
    return -1;
  }

  GossipNetwork network;

 private:
  void Start(int node, double early_fall) {
    PoolLoadOptions options;
    options.self = network.IdOf(node);
    options.data_centre = network.protocol(node).self().data_centre;
    options.early_fall = early_fall;
    exchanges_[node] = std::make_unique<PoolLoadExchange>(
        options,
        [this, node](const core::HostId& to, auto kind, std::string_view body) {
          const auto* member = network.protocol(node).table()->Find(to);
          if (member != nullptr) {
            bytes_[node] += body.size() + membership::kDatagramPrefixBytes +
                            membership::kDatagramHeaderBytes;
            network.SendApplication(node, member->gossip_address,
                                    static_cast<uint8_t>(kind), body);
          }
        });
  }

  std::vector<std::unique_ptr<PoolLoadExchange>> exchanges_;
  std::vector<uint64_t> bytes_;
};

TEST_CASE("totals converge on the sum of all owners") {
  struct Case {
    int members;
    uint64_t seeds;
    core::Duration limit;
  };
  const auto it = GENERATE(Case{2, 50, seconds(2)}, Case{8, 100, seconds(2)},
                           Case{96, 2, seconds(4)});
  for (uint64_t seed = 1; seed <= it.seeds; ++seed) {
    CAPTURE(it.members, seed);
    ExchangeFleet fleet(it.members, seed);
    double requests = 0;
    for (int i = 0; i < it.members; ++i) {
      const double local = 10 + i % 7;
      fleet.SetLocal(i, {2, local, local * 100});
      requests += local;
    }
    const double mean = requests / (2.0 * it.members);
    fleet.network.RunUntil([&] { return fleet.AllSeeMean(mean, 1e-6); },
                           it.limit);
    REQUIRE(fleet.AllSeeMean(mean, 1e-6));
    CHECK(fleet.Total(0).runners == 2U * static_cast<uint32_t>(it.members));
  }
}

TEST_CASE("the total follows after an aggregator dies") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    ExchangeFleet fleet(9, seed);
    for (int i = 0; i < 9; ++i) {
      fleet.SetLocal(i, {1, 10, 1000});
    }
    fleet.network.RunFor(seconds(3));
    REQUIRE(fleet.Total(4).runners == 9);
    const int aggregator = fleet.AggregatorOf(4);
    fleet.network.Kill(aggregator);
    // Its runner goes with it; meanwhile the mean stays.
    for (int i = 0; i < 30; ++i) {
      fleet.network.RunFor(seconds(1));
      REQUIRE(fleet.AllSeeMean(10, 1e-6));
    }
    const int survivor = aggregator == 4 ? 1 : 4;
    CHECK(fleet.Total(survivor).runners == 8);
  }
}

TEST_CASE("a runner that two hosts count does not double the mean") {
  ExchangeFleet fleet(8, 1);
  for (int i = 0; i < 8; ++i) {
    fleet.SetLocal(i, {1, 10, 1000});
  }
  // Member 1 believes that it owns the runner of member 0 too.
  fleet.SetLocal(1, {2, 20, 2000});
  fleet.network.RunFor(seconds(3));
  CHECK(fleet.AllSeeMean(10, 1e-6));
}

TEST_CASE("without an aggregator's answer a host goes by its own sum") {
  ExchangeFleet fleet(8, 1);
  for (int i = 0; i < 8; ++i) {
    fleet.SetLocal(i, {1, i < 4 ? 10.0 : 20.0, 1000});
  }
  fleet.network.RunFor(seconds(3));
  CHECK(fleet.Total(0).MeanRequests() == Approx(15));
  fleet.network.SetPartition(
      [](int from, int to) { return from == 0 || to == 0; });
  fleet.network.RunFor(seconds(10));
  CHECK(fleet.Total(0) == PoolDemand{1, 10, 1000});
  CHECK(fleet.exchange(0).Total(core::PoolId("other"), fleet.network.now()) ==
        PoolDemand{});
}

// How far the mean that members see lies above the true one, on average over
// five seconds in which demand falls by a tenth every 200 ms.
double ExcessWhileFalling(double early_fall) {
  ExchangeFleet fleet(96, 1, early_fall);
  double demand = 1000;
  double excess = 0;
  int samples = 0;
  for (int step = 0; step < 45; ++step) {
    for (int i = 0; i < 96; ++i) {
      fleet.SetLocal(i, {1, demand, demand});
    }
    fleet.network.RunFor(core::milliseconds(200));
    if (step >= 20) {
      excess += fleet.Total(step).MeanRequests() / demand - 1;
      ++samples;
      demand *= 0.9;
    }
  }
  return excess / samples;
}

TEST_CASE("early reports shorten the lag of a falling mean") {
  CHECK(ExcessWhileFalling(0.05) < ExcessWhileFalling(1.0) * 0.8);
}

TEST_CASE("bytes stay bounded as the data centre grows") {
  constexpr int kSeconds = 10;
  constexpr uint64_t kLimit = 10000;
  const int members = GENERATE(8, 96, 380);
  ExchangeFleet fleet(members, 1);
  for (int i = 0; i < members; ++i) {
    fleet.SetLocal(i, {2, 20, 2000});
  }
  fleet.network.RunFor(seconds(5));
  for (int i = 0; i < members; ++i) {
    fleet.bytes(i) = 0;
  }
  fleet.network.RunFor(seconds(kSeconds));
  for (int i = 0; i < members; ++i) {
    CHECK(fleet.bytes(i) / kSeconds < kLimit);
  }
}

TEST_CASE("broken datagrams are refused") {
  ExchangeFleet fleet(2, 1);
  const auto kind = GENERATE(membership::ApplicationKind::kPoolReport,
                             membership::ApplicationKind::kPoolTotals,
                             membership::ApplicationKind::kPoolSums,
                             membership::ApplicationKind::kFacts);
  const absl::Status status = fleet.exchange(0).OnDatagram(
      fleet.network.protocol(1).self(), kind, "\xc1", fleet.network.now());
  CHECK(core::CodeOf(status) == core::ResultCode::kMalformedMessage);
}

}  // namespace
}  // namespace wasabi::load
