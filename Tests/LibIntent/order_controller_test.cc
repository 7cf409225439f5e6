// Holders of orders that pause, lapse and lose messages, in virtual time.

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
constexpr core::Duration kChaos = seconds(40);
constexpr core::Duration kQuiet = seconds(60);
constexpr core::Duration kLoadTime = milliseconds(1500);
// Half of the difference of OrderOptions::take_over_wait and claim_freshness.
constexpr core::Duration kMaxOrderDelay = seconds(1);

// An endpoint that takes orders, with or without a check of their number.
struct FakeEndpoint {
  bool checks_fencing = false;
  WantedState wanted;
  WantedState applied;
  core::TimePoint loaded_at;
  int64_t highest_fencing = -1;

  bool IsLoading(core::TimePoint now) const { return now < loaded_at; }

  absl::Status Take(const SendOrder& order, core::TimePoint now) {
    if (checks_fencing && order.fencing_number < highest_fencing) {
      return core::MakeStatus(core::ResultCode::kOrderRefused, "old number");
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

struct OrderInFlight {
  core::TimePoint arrives_at;
  size_t daemon = 0;
  SendOrder order;
  bool is_answer_lost = false;
};

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
      Inform(&daemon);
    }
  }

  void Run() {
    const core::TimePoint quiet_at = now_ + kChaos;
    while (now_ < quiet_at) {
      Disturb();
      Advance();
    }
    for (Daemon& daemon : daemons_) {
      daemon.paused_until = now_;
    }
    const core::TimePoint end = now_ + kQuiet;
    while (now_ < end) {
      Advance();
    }
  }

  // The greatest number of endpoints that were out at once in any pool, as the
  // number of endpoints left.
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

  void Inform(Daemon* daemon) {
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
      // Views of members and configuration lag by some steps.
      if (random_.Below(5) == 0) {
        Inform(&daemons_[i]);
      }
      for (const OrderAction& action : daemons_[i].controller->Tick(now_)) {
        std::visit([&](const auto& it) { Act(i, it); }, action);
      }
    }
    NoteServing();
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

  void NoteServing() {
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

TEST_CASE("endpoints reach their wanted states and no pool goes out whole") {
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    World world(seed);
    world.Run();
    world.CheckAllAsWanted();
    CHECK(world.fewest_serving() >= 1);
  }
}

// One controller with one pool and hand-made answers.
class Bench {
 public:
  explicit Bench(int endpoints) : controller_("me", OrderOptions()) {
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

  // Runs for `duration`; returns the orders, which are accepted and loaded.
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
  // Whether orders finish loading at once; else they never do.
  void SetLoads(bool do_finish) { do_loads_finish_ = do_finish; }
  // Reads of this endpoint get no answer; empty for none.
  void Mute(const std::string& endpoint) { muted_ = endpoint; }
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
      if (state->endpoint == muted_) {
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
  std::string muted_;
  bool do_loads_finish_ = true;
  FakeLog claims_;
};

TEST_CASE("no order is sent before every endpoint of the pool was read") {
  Bench bench(3);
  bench.Mute("e2");
  CHECK(bench.Run(seconds(20)).empty());
}

TEST_CASE("a share of a pool loads at once, and at least one endpoint") {
  struct Case {
    int endpoints;
    size_t loads;
  };
  for (const Case& it : {Case{9, 3}, Case{6, 2}, Case{2, 1}}) {
    CAPTURE(it.endpoints);
    Bench bench(it.endpoints);
    bench.SetLoads(false);
    CHECK(bench.Run(seconds(60)).size() == it.loads);
  }
}

TEST_CASE("orders carry the offset of the holder's claim") {
  Bench bench(3);
  bench.AppendClaimOf("other");
  const std::vector<SendOrder> orders = bench.Run(seconds(20));
  CHECK(orders.size() == 3);
  for (const SendOrder& order : orders) {
    CHECK(order.fencing_number == 1);
    CHECK_FALSE(order.is_correction);
  }
  CHECK(bench.controller().CountPending() == 0);
}

TEST_CASE("an endpoint that was changed behind the holder is corrected") {
  Bench bench(2);
  bench.Run(seconds(20));
  bench.SetState("e1", {{"old", "", "1", "serving"}, true});
  const std::vector<SendOrder> orders = bench.Run(seconds(10));
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].endpoint == "e1");
  CHECK(orders[0].is_correction);
}

TEST_CASE("a holder that was paused reads the claims before it sends") {
  Bench bench(2);
  bench.Run(seconds(20));
  bench.SetState("e0", {{"old", "", "1", "serving"}, true});
  bench.Pause(seconds(30));
  bench.AppendClaimOf("other");
  // The pause is longer than the threshold, so there is time for the member
  // table before the pool is claimed again.
  CHECK(bench.Run(seconds(2)).empty());
  CHECK(bench.claims_end() == 2);
}

TEST_CASE("a refused number leads to a new claim") {
  Bench bench(2);
  const std::vector<SendOrder> orders = bench.Run(
      seconds(20),
      core::MakeStatus(core::ResultCode::kOrderRefused, "old number"));
  REQUIRE(!orders.empty());
  CHECK(bench.claims_end() > 1);
}

TEST_CASE("the last endpoint of a pool that serves is not loaded") {
  Bench bench(1);
  CHECK(bench.Run(seconds(20)).empty());
  bench.SetState("e0", {{"old", "", "1", "standby"}, true});
  CHECK(bench.Run(seconds(20)).size() == 1);
}

}  // namespace
}  // namespace wasabi::intent
