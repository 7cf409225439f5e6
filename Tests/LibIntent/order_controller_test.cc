// Tests the order controller in virtual time. The randomized test covers
// daemons that are paused, lose the ownership of a pool and lose responses to
// orders.

#include "LibIntent/order_controller.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Tests/LibIntent/fake_log.h"

namespace wasabi::intent {
namespace {

using core::milliseconds;
using core::seconds;

constexpr int kSeeds = 1000;
constexpr size_t kHolders = 3;
constexpr core::Duration kStep = milliseconds(100);
constexpr core::Duration kFaultPhase = seconds(40);
constexpr core::Duration kRecoveryPhase = seconds(60);
constexpr core::Duration kLoadTime = milliseconds(1500);
// Half the difference between OrderOptions::take_over_wait and claim_freshness.
constexpr core::Duration kMaxOrderDelay = seconds(1);

// An endpoint that accepts orders and may check their fencing numbers.
struct FakeEndpoint {
  bool checks_fencing = false;
  WantedState wanted;
  WantedState applied;
  core::TimePoint loaded_at;
  int64_t highest_fencing = -1;

  bool IsLoading(core::TimePoint now) const { return now < loaded_at; }

  absl::Status Take(const SendOrder& order, core::TimePoint now) {
    if (checks_fencing && order.fencing_number < highest_fencing) {
      return core::MakeStatus(core::ResultCode::kOrderRefused,
                              "stale fencing number");
    }
    highest_fencing = std::max(highest_fencing, order.fencing_number);
    if (order.state != wanted) {
      wanted = order.state;
      loaded_at = now + kLoadTime;
    }
    return absl::OkStatus();
  }
};

struct Daemon {
  std::unique_ptr<OrderController> controller;
  core::TimePoint paused_until;
};

// An order that has been sent and has not arrived yet.
struct OrderInFlight {
  core::TimePoint arrives_at;
  size_t daemon = 0;
  SendOrder order;
  bool is_answer_lost = false;
};

// Simulates several control daemons that send orders to the endpoints of two
// pools, first with faults and then without.
class World {
 public:
  explicit World(uint64_t seed) : random_(seed) {
    for (size_t i = 0; i < kHolders; ++i) {
      daemons_.push_back({std::make_unique<OrderController>(
                              fmt::format("daemon-{}", i), OrderOptions()),
                          now_});
    }
    AddPool("pool-a", 4);
    AddPool("pool-b", 2);
    configuration_ = std::make_shared<const Configuration>();
    ChangeWantedStates();
    for (Daemon& daemon : daemons_) {
      daemon.controller->SetPools(pools_);
      UpdateViews(&daemon);
    }
  }

  void Run() {
    const core::TimePoint faults_end = now_ + kFaultPhase;
    while (now_ < faults_end) {
      Disturb();
      Advance();
    }
    for (Daemon& daemon : daemons_) {
      daemon.paused_until = now_;
    }
    const core::TimePoint end = now_ + kRecoveryPhase;
    while (now_ < end) {
      Advance();
    }
  }

  // The smallest number of endpoints that were serving at any time in any pool.
  size_t fewest_serving() const { return fewest_serving_; }

  void CheckAllAsWanted() const {
    for (const auto& [name, wanted] : configuration_->wanted_states) {
      CAPTURE(name);
      CHECK(endpoints_.at(name).wanted == wanted);
      CHECK_FALSE(endpoints_.at(name).IsLoading(now_));
    }
  }

 private:
  void AddPool(const std::string& pool, int size) {
    for (int i = 0; i < size; ++i) {
      const std::string name = fmt::format("{}/{}", pool, i);
      endpoints_[name].checks_fencing = random_.Below(2) == 0;
      pools_[core::PoolId(pool)].insert(name);
    }
    owner_[core::PoolId(pool)] = random_.Below(kHolders);
  }

  void ChangeWantedStates() {
    Configuration next = *configuration_;
    ++next.revision;
    for (const auto& [name, endpoint] : endpoints_) {
      if (random_.Below(2) == 0) {
        next.wanted_states[name] = {"model", "", std::to_string(next.revision),
                                    "serving"};
      }
    }
    configuration_ = std::make_shared<const Configuration>(next);
  }

  void UpdateViews(Daemon* daemon) {
    daemon->controller->SetConfiguration(configuration_);
    std::set<core::PoolId> owned;
    for (const auto& [pool, owner] : owner_) {
      if (&daemons_[owner] == daemon) {
        owned.insert(pool);
      }
    }
    daemon->controller->SetOwnedPools(owned);
  }

  void Disturb() {
    if (random_.Below(80) == 0) {
      ChangeWantedStates();
    }
    if (random_.Below(60) == 0) {
      owner_[core::PoolId(random_.Below(2) == 0 ? "pool-a" : "pool-b")] =
          random_.Below(kHolders);
    }
    if (random_.Below(50) == 0) {
      daemons_[random_.Below(kHolders)].paused_until =
          now_ + milliseconds(random_.Below(15000));
    }
  }

  void Advance() {
    now_ += kStep;
    Deliver();
    for (size_t i = 0; i < daemons_.size(); ++i) {
      if (now_ < daemons_[i].paused_until) {
        continue;
      }
      // Daemons see changes of ownership and configuration some steps late.
      if (random_.Below(5) == 0) {
        UpdateViews(&daemons_[i]);
      }
      for (const OrderAction& action : daemons_[i].controller->Tick(now_)) {
        std::visit([&](const auto& it) { Act(i, it); }, action);
      }
    }
    UpdateFewestServing();
  }

  void Act(size_t daemon, const ReadClaims& it) {
    daemons_[daemon].controller->OnClaims(
        now_, claims_.Read(it.from, claims_.end(), claims_.end()));
  }

  void Act(size_t daemon, const AppendClaim& it) {
    claims_.Append(EncodeClaim(it.claim));
    daemons_[daemon].controller->OnClaimAppended(it.claim.pool);
  }

  void Act(size_t daemon, const ReadEndpointState& it) {
    const FakeEndpoint& endpoint = endpoints_[it.endpoint];
    daemons_[daemon].controller->OnEndpointState(
        now_, it.endpoint,
        EndpointState{endpoint.wanted, !endpoint.IsLoading(now_)});
  }

  void Act(size_t daemon, const SendOrder& it) {
    const auto max_delay_ms =
        static_cast<uint64_t>(core::ToMilliseconds(kMaxOrderDelay));
    in_flight_.push_back({now_ + milliseconds(random_.Below(max_delay_ms)),
                          daemon, it, random_.Below(8) == 0});
  }

  void Deliver() {
    std::vector<OrderInFlight> arrived;
    std::erase_if(in_flight_, [&](const OrderInFlight& it) {
      if (it.arrives_at > now_) {
        return false;
      }
      arrived.push_back(it);
      return true;
    });
    for (const OrderInFlight& it : arrived) {
      absl::Status status = endpoints_[it.order.endpoint].Take(it.order, now_);
      if (it.is_answer_lost) {
        status = core::MakeStatus(core::ResultCode::kPeerSilent, "lost");
      }
      daemons_[it.daemon].controller->OnOrderAnswered(now_, it.order.endpoint,
                                                      status);
    }
  }

  void UpdateFewestServing() {
    for (const auto& [pool, members] : pools_) {
      const auto serving = static_cast<size_t>(std::count_if(
          members.begin(), members.end(), [this](const std::string& name) {
            return !endpoints_.at(name).IsLoading(now_);
          }));
      fewest_serving_ = std::min(fewest_serving_, serving);
    }
  }

  core::RandomSource random_;
  core::TimePoint now_ = core::TimePoint() + seconds(1000);
  std::vector<Daemon> daemons_;
  FakeLog claims_;
  PoolMembers pools_;
  std::map<core::PoolId, size_t> owner_;
  std::map<std::string, FakeEndpoint> endpoints_;
  std::vector<OrderInFlight> in_flight_;
  ConfigurationView configuration_;
  size_t fewest_serving_ = SIZE_MAX;
};

TEST_CASE("endpoints reach their wanted states and each pool keeps serving") {
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    World world(seed);
    world.Run();
    world.CheckAllAsWanted();
    CHECK(world.fewest_serving() >= 1);
  }
}

// Runs one controller with one pool and scripted responses.
class SinglePoolHarness {
 public:
  explicit SinglePoolHarness(int endpoints)
      : controller_("me", OrderOptions()) {
    Configuration configuration;
    for (int i = 0; i < endpoints; ++i) {
      const std::string name = fmt::format("e{}", i);
      pools_[core::PoolId("pool")].insert(name);
      configuration.wanted_states[name] = {"new", "", "2", "serving"};
      states_[name] = {{"old", "", "1", "serving"}, true};
    }
    controller_.SetConfiguration(
        std::make_shared<const Configuration>(configuration));
    controller_.SetPools(pools_);
    controller_.SetOwnedPools({core::PoolId("pool")});
  }

  // Runs for `duration` of virtual time and returns the orders that were sent.
  // Each order changes the endpoint's state and gets the response `answer`.
  std::vector<SendOrder> Run(core::Duration duration,
                             const absl::Status& answer = absl::OkStatus()) {
    std::vector<SendOrder> orders;
    const core::TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += kStep;
      for (const OrderAction& action : controller_.Tick(now_)) {
        if (const auto* order = std::get_if<SendOrder>(&action)) {
          orders.push_back(*order);
          states_[order->endpoint] = {order->state, do_loads_finish_};
          controller_.OnOrderAnswered(now_, order->endpoint, answer);
        } else {
          Answer(action);
        }
      }
    }
    return orders;
  }

  void AppendClaimOf(const std::string& holder) {
    claims_.Append(EncodeClaim({core::PoolId("pool"), holder}));
  }
  void SetState(const std::string& endpoint, const EndpointState& state) {
    states_[endpoint] = state;
  }
  // Sets whether orders finish loading immediately or never.
  void SetLoadsFinish(bool do_finish) { do_loads_finish_ = do_finish; }
  // Leaves reads of `endpoint` unanswered; empty for no endpoint.
  void LeaveUnanswered(const std::string& endpoint) {
    unanswered_endpoint_ = endpoint;
  }
  void Pause(core::Duration duration) { now_ += duration; }
  int64_t claims_end() const { return claims_.end(); }
  OrderController& controller() { return controller_; }

 private:
  void Answer(const OrderAction& action) {
    if (const auto* read = std::get_if<ReadClaims>(&action)) {
      controller_.OnClaims(
          now_, claims_.Read(read->from, claims_.end(), claims_.end()));
    } else if (const auto* claim = std::get_if<AppendClaim>(&action)) {
      claims_.Append(EncodeClaim(claim->claim));
      controller_.OnClaimAppended(claim->claim.pool);
    } else if (const auto* state = std::get_if<ReadEndpointState>(&action)) {
      if (state->endpoint == unanswered_endpoint_) {
        return;
      }
      controller_.OnEndpointState(now_, state->endpoint,
                                  states_[state->endpoint]);
    }
  }

  core::TimePoint now_ = core::TimePoint() + seconds(1000);
  OrderController controller_;
  PoolMembers pools_;
  std::map<std::string, EndpointState> states_;
  std::string unanswered_endpoint_;
  bool do_loads_finish_ = true;
  FakeLog claims_;
};

TEST_CASE("no order is sent until every endpoint of the pool has been read") {
  SinglePoolHarness harness(3);
  harness.LeaveUnanswered("e2");
  CHECK(harness.Run(seconds(20)).empty());
}

TEST_CASE(
    "at most a share of a pool loads concurrently, at least one endpoint") {
  struct Case {
    int endpoints;
    size_t loads;
  };
  for (const Case& it : {Case{9, 3}, Case{6, 2}, Case{2, 1}}) {
    CAPTURE(it.endpoints);
    SinglePoolHarness harness(it.endpoints);
    harness.SetLoadsFinish(false);
    CHECK(harness.Run(seconds(60)).size() == it.loads);
  }
}

TEST_CASE("orders carry the offset of the holder's claim") {
  SinglePoolHarness harness(3);
  harness.AppendClaimOf("other");
  const std::vector<SendOrder> orders = harness.Run(seconds(20));
  CHECK(orders.size() == 3);
  for (const SendOrder& order : orders) {
    CHECK(order.fencing_number == 1);
    CHECK_FALSE(order.is_correction);
  }
  CHECK(harness.controller().CountPending() == 0);
}

TEST_CASE("an endpoint whose state changed without an order is corrected") {
  SinglePoolHarness harness(2);
  harness.Run(seconds(20));
  harness.SetState("e1", {{"old", "", "1", "serving"}, true});
  const std::vector<SendOrder> orders = harness.Run(seconds(10));
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].endpoint == "e1");
  CHECK(orders[0].is_correction);
}

TEST_CASE("a holder reads the claims after a pause before it sends orders") {
  SinglePoolHarness harness(2);
  harness.Run(seconds(20));
  harness.SetState("e0", {{"old", "", "1", "serving"}, true});
  harness.Pause(seconds(30));
  harness.AppendClaimOf("other");
  // The pause exceeds the threshold, so the pool is not claimed again until the
  // settle time for the member table has passed.
  CHECK(harness.Run(seconds(2)).empty());
  CHECK(harness.claims_end() == 2);
}

TEST_CASE("an order refused for its fencing number leads to a new claim") {
  SinglePoolHarness harness(2);
  const std::vector<SendOrder> orders =
      harness.Run(seconds(20), core::MakeStatus(core::ResultCode::kOrderRefused,
                                                "stale fencing number"));
  REQUIRE(!orders.empty());
  CHECK(harness.claims_end() > 1);
}

TEST_CASE("the last serving endpoint of a pool gets no order") {
  SinglePoolHarness harness(1);
  CHECK(harness.Run(seconds(20)).empty());
  harness.SetState("e0", {{"old", "", "1", "standby"}, true});
  CHECK(harness.Run(seconds(20)).size() == 1);
}

}  // namespace
}  // namespace wasabi::intent
