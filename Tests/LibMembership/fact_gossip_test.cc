#include "LibMembership/fact_gossip.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibMembership/application_kind.h"
#include "Tests/Support/GossipNetwork/gossip_network.h"

namespace wasabi::membership {
namespace {

using core::seconds;

// A FactGossip instance on every member of a network in virtual time.
class FactFleet {
 public:
  FactFleet(int members, uint64_t seed, double drop)
      : network({members, seed, drop, 1 + members / 16}) {
    network.StartAll();
    network.RunUntil([&] { return network.IsConverged(); }, seconds(60));
    REQUIRE(network.IsConverged());
    for (int i = 0; i < members; ++i) {
      FactOptions options;
      options.self = network.IdOf(i);
      facts_.push_back(std::make_unique<FactGossip>(
          options, seed * 1000 + static_cast<uint64_t>(i),
          [this, i](const core::HostId& to, std::string_view body) {
            if (const Member* it = network.protocol(i).table()->Find(to)) {
              bytes += body.size() + kDatagramHeaderBytes;
              network.SendApplication(
                  i, it->gossip_address,
                  static_cast<uint8_t>(ApplicationKind::kFacts), body);
            }
          }));
    }
    network.SetApplicationHandler(
        [this](int to, const Member&, const DatagramView& view) {
          REQUIRE(facts_[to]->OnDatagram(view.body, network.now()).ok());
        });
    network.SetTickHandler([this](int node, core::TimePoint now) {
      facts_[node]->Tick(*network.protocol(node).table(), now);
    });
  }

  FactGossip& at(int node) { return *facts_[node]; }

  bool AllHave(const std::string& key,
               const std::optional<std::string>& value) {
    for (const auto& it : facts_) {
      if (it->Get(key, network.now()) != value) {
        return false;
      }
    }
    return true;
  }

  GossipNetwork network;
  uint64_t bytes = 0;

 private:
  std::vector<std::unique_ptr<FactGossip>> facts_;
};

TEST_CASE("a fact reaches all members, changes and expires") {
  struct Case {
    int members;
    uint64_t seeds;
    core::Duration limit;
  };
  const auto it = GENERATE(Case{8, 200, seconds(3)}, Case{96, 2, seconds(4)});
  for (uint64_t seed = 1; seed <= it.seeds; ++seed) {
    CAPTURE(it.members, seed);
    FactFleet fleet(it.members, seed, 0.05);
    const auto set = [&](int node, const std::string& value,
                         const std::optional<std::string>& seen) {
      REQUIRE(fleet.at(node)
                  .Set("digest/1", value, seconds(30), fleet.network.now())
                  .ok());
      const auto done = [&] { return fleet.AllHave("digest/1", seen); };
      fleet.network.RunUntil(done, it.limit);
      REQUIRE(done());
    };
    set(1, "quarantined", "quarantined");
    set(2, "again", "again");
    set(3, "", std::nullopt);
    set(4, "last", "last");
    fleet.network.RunFor(seconds(31));
    REQUIRE(fleet.AllHave("digest/1", std::nullopt));
    REQUIRE(fleet.at(1).size() == 0);
  }
}

TEST_CASE(
    "a member that was unreachable receives facts that have not expired") {
  FactFleet fleet(8, 1, 0.0);
  fleet.network.SetPartition(
      [](int from, int to) { return from == 7 || to == 7; });
  REQUIRE(fleet.at(0).Set("a", "b", seconds(120), fleet.network.now()).ok());
  fleet.network.RunFor(seconds(20));
  REQUIRE(fleet.at(7).size() == 0);
  fleet.network.SetPartition(nullptr);
  const auto done = [&] { return fleet.AllHave("a", "b"); };
  fleet.network.RunUntil(done, seconds(60));
  CHECK(done());
}

TEST_CASE("facts are bounded in size, number and rate") {
  constexpr int kFacts = 3000;
  constexpr uint64_t kSeconds = 60;
  FactFleet fleet(8, 1, 0.0);
  const core::TimePoint now = fleet.network.now();
  CHECK(core::CodeOf(
            fleet.at(0).Set("k", std::string(200, 'x'), seconds(60), now)) ==
        core::ResultCode::kMalformedMessage);
  for (int i = 0; i < kFacts; ++i) {
    REQUIRE(fleet.at(0)
                .Set(fmt::format("key/{}", i), "value", seconds(600), now)
                .ok());
  }
  CHECK(fleet.at(0).size() == FactOptions().max_facts);
  CHECK(fleet.at(0).WithPrefix("key/9", now).size() > 1);
  fleet.network.RunFor(seconds(kSeconds));
  const double rate = FactOptions().rate;
  CHECK(static_cast<double>(fleet.bytes) / 8 / kSeconds < rate * 1.1);
  CHECK(core::CodeOf(fleet.at(0).OnDatagram("\xc1", now)) ==
        core::ResultCode::kMalformedMessage);
}

}  // namespace
}  // namespace wasabi::membership
