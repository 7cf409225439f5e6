#include "LibLoad/pool_load_exchange.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "LibCore/result_code.h"
#include "Tests/Support/GossipNetwork/exchange_fleet.h"
#include "Tests/Support/GossipNetwork/gossip_network.h"

namespace wasabi::load {
namespace {

using core::seconds;
using membership::GossipNetwork;
using routing::PoolDemand;

// A converged network with a PoolLoadExchange on each member.
struct Fleet {
  explicit Fleet(int members,
                 uint64_t seed,
                 double early_report_threshold = 0.05)
      : network(MakeConverged(members, seed)),
        load(network.get(), early_report_threshold) {}

  static std::unique_ptr<GossipNetwork> MakeConverged(int members,
                                                      uint64_t seed) {
    constexpr int kMembersPerListed = 16;
    auto network = std::make_unique<GossipNetwork>(GossipNetwork::Options{
        members, seed, 0.01, 1 + members / kMembersPerListed});
    network->StartAll();
    network->RunUntil([&] { return network->IsConverged(); }, seconds(60));
    REQUIRE(network->IsConverged());
    return network;
  }

  std::unique_ptr<GossipNetwork> network;
  ExchangeFleet load;
};

TEST_CASE("totals converge to the sum over all owners") {
  struct Case {
    int members;
    uint64_t seeds;
    core::Duration limit;
  };
  const auto it = GENERATE(Case{2, 50, seconds(2)}, Case{8, 100, seconds(2)},
                           Case{96, 2, seconds(4)});
  for (uint64_t seed = 1; seed <= it.seeds; ++seed) {
    CAPTURE(it.members, seed);
    Fleet fleet(it.members, seed);
    double requests = 0;
    for (int i = 0; i < it.members; ++i) {
      const double local = 10 + i % 7;
      fleet.load.SetLocalDemand(i, {2, local, local * 100});
      requests += local;
    }
    const double mean = requests / (2.0 * it.members);
    fleet.network->RunUntil([&] { return fleet.load.AllSeeMean(mean, 1e-6); },
                            it.limit);
    REQUIRE(fleet.load.AllSeeMean(mean, 1e-6));
    CHECK(fleet.load.Total(0).runners ==
          2U * static_cast<uint32_t>(it.members));
  }
}

TEST_CASE("totals are updated after an aggregator is killed") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    Fleet fleet(9, seed);
    for (int i = 0; i < 9; ++i) {
      fleet.load.SetLocalDemand(i, {1, 10, 1000});
    }
    fleet.network->RunFor(seconds(3));
    REQUIRE(fleet.load.Total(4).runners == 9);
    const int aggregator = fleet.load.AggregatorOf(4);
    fleet.network->Kill(aggregator);
    // The aggregator's runner is removed with it. The mean must not change in
    // the meantime.
    for (int i = 0; i < 30; ++i) {
      fleet.network->RunFor(seconds(1));
      REQUIRE(fleet.load.AllSeeMean(10, 1e-6));
    }
    const int survivor = aggregator == 4 ? 1 : 4;
    CHECK(fleet.load.Total(survivor).runners == 8);
  }
}

TEST_CASE("a runner reported by two hosts does not double the mean") {
  Fleet fleet(8, 1);
  for (int i = 0; i < 8; ++i) {
    fleet.load.SetLocalDemand(i, {1, 10, 1000});
  }
  // Member 1 believes that it also owns the runner of member 0.
  fleet.load.SetLocalDemand(1, {2, 20, 2000});
  fleet.network->RunFor(seconds(3));
  CHECK(fleet.load.AllSeeMean(10, 1e-6));
}

TEST_CASE("a host uses its own demand if no aggregator answers") {
  Fleet fleet(8, 1);
  for (int i = 0; i < 8; ++i) {
    fleet.load.SetLocalDemand(i, {1, i < 4 ? 10.0 : 20.0, 1000});
  }
  fleet.network->RunFor(seconds(3));
  CHECK(fleet.load.Total(0).MeanRequests() == Approx(15));
  fleet.network->SetPartition(
      [](int from, int to) { return from == 0 || to == 0; });
  fleet.network->RunFor(seconds(10));
  CHECK(fleet.load.Total(0) == PoolDemand{1, 10, 1000});
  CHECK(fleet.load.exchange(0).Total(core::PoolId("other"),
                                     fleet.network->now()) == PoolDemand{});
}

// Returns by which fraction the mean seen by members exceeds the true mean,
// averaged over five seconds in which demand falls by a tenth every 200 ms.
double ExcessWhileFalling(double early_report_threshold) {
  Fleet fleet(96, 1, early_report_threshold);
  double demand = 1000;
  double excess = 0;
  int samples = 0;
  for (int step = 0; step < 45; ++step) {
    for (int i = 0; i < 96; ++i) {
      fleet.load.SetLocalDemand(i, {1, demand, demand});
    }
    fleet.network->RunFor(core::milliseconds(200));
    if (step >= 20) {
      excess += fleet.load.Total(step).MeanRequests() / demand - 1;
      ++samples;
      demand *= 0.9;
    }
  }
  return excess / samples;
}

TEST_CASE("early reports reduce the lag of the mean when demand falls") {
  CHECK(ExcessWhileFalling(0.05) < ExcessWhileFalling(1.0) * 0.8);
}

TEST_CASE("sent bytes stay bounded as the data centre grows") {
  constexpr int kSeconds = 10;
  constexpr uint64_t kLimit = 10000;
  const int members = GENERATE(8, 96, 380);
  Fleet fleet(members, 1);
  for (int i = 0; i < members; ++i) {
    fleet.load.SetLocalDemand(i, {2, 20, 2000});
  }
  fleet.network->RunFor(seconds(5));
  for (int i = 0; i < members; ++i) {
    fleet.load.bytes_sent(i) = 0;
  }
  fleet.network->RunFor(seconds(kSeconds));
  for (int i = 0; i < members; ++i) {
    CHECK(fleet.load.bytes_sent(i) / kSeconds < kLimit);
  }
}

TEST_CASE("malformed datagrams are rejected") {
  Fleet fleet(2, 1);
  const auto kind = GENERATE(membership::ApplicationKind::kPoolReport,
                             membership::ApplicationKind::kPoolTotals,
                             membership::ApplicationKind::kPoolSums,
                             membership::ApplicationKind::kFacts);
  const absl::Status status = fleet.load.exchange(0).OnDatagram(
      fleet.network->protocol(1).self(), kind, "\xc1", fleet.network->now());
  CHECK(core::CodeOf(status) == core::ResultCode::kMalformedMessage);
}

}  // namespace
}  // namespace wasabi::load
