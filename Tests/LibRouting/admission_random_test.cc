// Simulates random sequences of events on the admissions of a whole pool, in
// virtual time.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibRouting/runner_admission.h"

namespace wasabi::routing {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kStart{std::chrono::hours(1)};
constexpr core::Duration kStep = milliseconds(50);
// Displacement may delay the offer to a last choice by at most one round of
// Advance calls.
constexpr core::Duration kTolerance = milliseconds(100);

struct PoolOptions {
  uint64_t seed = 0;
  size_t runners = 9;
  double load_bound = 1.25;
  uint32_t max_running = 64;
  core::Duration pool_lag = core::Duration::zero();
  // If false, the load bound is not enforced.
  bool has_bound = true;
  // If false, the pool's total includes running requests only.
  bool counts_waiting = true;
  double arrivals_per_step = 1;
};

class SimulatedPool {
 public:
  explicit SimulatedPool(const PoolOptions& options)
      : options_(options), random_(options.seed) {
    AdmissionPolicy policy;
    policy.load_bound = options.has_bound ? options.load_bound : 1e9;
    policy.max_running = options.max_running;
    policy.pool_lag = options.pool_lag;
    for (size_t i = 0; i < options.runners; ++i) {
      admissions_.push_back(std::make_unique<RunnerAdmission>(
          core::RunnerId(std::to_string(i)), policy));
      accepts_work_.push_back(true);
    }
  }

  void RunSteps(int steps) {
    for (int i = 0; i < steps; ++i) {
      RunStep();
    }
  }

  void Burst(int requests) {
    for (int i = 0; i < requests; ++i) {
      Arrive();
    }
  }

  void StopArrivals() { options_.arrivals_per_step = 0; }
  void DisableOneRunner() {
    SetAccepts(random_.Below(admissions_.size()), false);
  }
  void EnableAllRunners() {
    for (size_t i = 0; i < admissions_.size(); ++i) {
      SetAccepts(i, true);
    }
  }

  size_t running() const { return running_.size(); }
  size_t waiting() const { return waiting_.size(); }
  int starts() const { return starts_; }
  int starts_above_bound() const { return starts_above_bound_; }
  int starts_after_deadline() const { return starts_after_deadline_; }
  int waits_beyond_deadline() const { return waits_beyond_deadline_; }
  int refused_despite_idle_runner() const {
    return refused_despite_idle_runner_;
  }

 private:
  struct Running {
    size_t runner = 0;
    core::TimePoint end;
  };

  void RunStep() {
    now_ += kStep;
    FinishEnded();
    sums_.push_back(Sum());
    while (sums_.size() > 1U + static_cast<size_t>(options_.pool_lag / kStep)) {
      sums_.pop_front();
    }
    const auto arrivals = static_cast<uint64_t>(2 * options_.arrivals_per_step);
    const uint64_t count = arrivals == 0 ? 0 : random_.Below(arrivals + 1);
    Burst(static_cast<int>(count));
    for (size_t i = 0; i < admissions_.size(); ++i) {
      Advance(i);
    }
    for (const auto& [request, item] : waiting_) {
      waits_beyond_deadline_ += now_ > item.deadline + kTolerance ? 1 : 0;
    }
  }

  PoolDemand Sum() const {
    PoolDemand sum;
    for (size_t i = 0; i < admissions_.size(); ++i) {
      PoolDemand demand = admissions_[i]->Demand(now_);
      if (!options_.counts_waiting) {
        demand.requests = admissions_[i]->running_requests();
      }
      sum = sum + demand;
    }
    return sum;
  }

  const PoolDemand& LaggedSum() {
    if (options_.pool_lag == core::Duration::zero()) {
      sums_.assign(1, Sum());
    } else if (sums_.empty()) {
      sums_.push_back({});
    }
    return sums_.front();
  }

  void Arrive() {
    WorkItem item;
    item.request = core::RequestId(std::to_string(++last_request_));
    item.organisation = core::OrganisationId(std::to_string(random_.Below(3)));
    item.chat = core::ChatKey(std::to_string(random_.Below(200)));
    item.priority = static_cast<Priority>(random_.Below(3));
    item.size = {1000, static_cast<uint32_t>(random_.Below(900)), 100};
    item.deadline = now_ + seconds(1 + random_.Below(60));
    PlaceFrom(item, 0);
  }

  size_t RunnerAt(const WorkItem& item, size_t choice) const {
    return (item.chat.Hash() + choice) % admissions_.size();
  }

  void PlaceFrom(WorkItem item, uint32_t choice) {
    for (; choice < admissions_.size(); ++choice) {
      item.choice = choice;
      item.is_last_choice = choice + 1 == admissions_.size();
      const size_t runner = RunnerAt(item, choice);
      const double bound = CurrentBound();
      const AdmissionDecision decision =
          admissions_[runner]->Offer(item, LaggedSum(), now_);
      if (decision.verdict == Verdict::kTryNext) {
        continue;
      }
      if (decision.verdict == Verdict::kRun) {
        Start(runner, item, bound);
      } else if (decision.verdict == Verdict::kWait) {
        waiting_[item.request] = item;
      } else {
        RecordRefusal(item);
      }
      return;
    }
    RecordRefusal(item);
  }

  // Returns ceil(bound × mean) of the current demand. Must be called before a
  // decision, because the decision may start or displace queued requests.
  double CurrentBound() const {
    return std::max(
        1.0, std::ceil(options_.load_bound * Sum().MeanRequests() - 1e-9));
  }

  void Start(size_t runner, const WorkItem& item, double bound) {
    ++starts_;
    running_[item.request] = {runner, now_ + milliseconds(random_.Below(8000))};
    starts_above_bound_ +=
        admissions_[runner]->running_requests() > bound ? 1 : 0;
    starts_after_deadline_ += now_ >= item.deadline ? 1 : 0;
  }

  void RecordRefusal(const WorkItem& item) {
    const bool is_before_deadline = item.deadline > now_;
    for (size_t i = 0; i < admissions_.size(); ++i) {
      const bool is_idle = accepts_work_[i] &&
                           admissions_[i]->running_requests() == 0 &&
                           admissions_[i]->waiting_requests() == 0;
      refused_despite_idle_runner_ += is_idle && is_before_deadline ? 1 : 0;
    }
  }

  void Advance(size_t runner) {
    const double bound = CurrentBound();
    const AdmissionProgress progress =
        admissions_[runner]->Advance(LaggedSum(), now_);
    for (const core::RequestId& it : progress.to_run) {
      Start(runner, waiting_.at(it), bound);
      waiting_.erase(it);
    }
    for (const core::RequestId& it : progress.to_refuse) {
      waiting_.erase(it);
    }
    for (const core::RequestId& it : progress.to_displace) {
      const WorkItem item = waiting_.at(it);
      waiting_.erase(it);
      PlaceFrom(item, item.is_last_choice ? 0 : item.choice + 1);
    }
  }

  void FinishEnded() {
    for (auto it = running_.begin(); it != running_.end();) {
      if (it->second.end > now_) {
        ++it;
        continue;
      }
      admissions_[it->second.runner]->Finish(it->first, now_);
      it = running_.erase(it);
    }
  }

  void SetAccepts(size_t runner, bool accepts_work) {
    accepts_work_[runner] = accepts_work;
    admissions_[runner]->SetAcceptsWork(accepts_work);
  }

  PoolOptions options_;
  core::RandomSource random_;
  core::TimePoint now_ = kStart;
  std::vector<std::unique_ptr<RunnerAdmission>> admissions_;
  std::vector<bool> accepts_work_;
  std::map<core::RequestId, Running> running_;
  std::map<core::RequestId, WorkItem> waiting_;
  std::deque<PoolDemand> sums_;
  uint64_t last_request_ = 0;
  int starts_ = 0;
  int starts_above_bound_ = 0;
  int starts_after_deadline_ = 0;
  int waits_beyond_deadline_ = 0;
  int refused_despite_idle_runner_ = 0;
};

PoolOptions RandomOptions(uint64_t seed) {
  core::RandomSource random(seed);
  PoolOptions options;
  options.seed = seed;
  options.runners = 1 + random.Below(12);
  options.load_bound = 1.05 + random.Unit() * 0.5;
  options.max_running = static_cast<uint32_t>(1 + random.Below(64));
  options.arrivals_per_step = 0.5 + random.Unit() * 8;
  return options;
}

void RunRandomly(SimulatedPool& pool) {
  pool.RunSteps(60);
  pool.DisableOneRunner();
  pool.Burst(100);
  pool.RunSteps(60);
  pool.EnableAllRunners();
  pool.RunSteps(60);
}

TEST_CASE("no start brings a runner above ceil(bound × mean)") {
  for (uint64_t seed = 0; seed < 1000; ++seed) {
    CAPTURE(seed);
    SimulatedPool pool(RandomOptions(seed));
    RunRandomly(pool);
    REQUIRE(pool.starts() > 0);
    REQUIRE(pool.starts_above_bound() == 0);
  }
}

TEST_CASE("without the bound, starts exceed it") {
  PoolOptions options = RandomOptions(3);
  options.has_bound = false;
  options.max_running = 64;
  options.runners = 9;
  SimulatedPool pool(options);
  RunRandomly(pool);
  CHECK(pool.starts_above_bound() > 10);
}

TEST_CASE("deadlines hold, and no idle runner stands beside a refusal") {
  for (uint64_t seed = 0; seed < 500; ++seed) {
    CAPTURE(seed);
    PoolOptions options = RandomOptions(seed);
    options.pool_lag = seconds(1);
    SimulatedPool pool(options);
    RunRandomly(pool);
    REQUIRE(pool.starts_after_deadline() == 0);
    REQUIRE(pool.waits_beyond_deadline() == 0);
    REQUIRE(pool.refused_despite_idle_runner() == 0);
    pool.StopArrivals();
    pool.RunSteps(20 * 70);
    REQUIRE(pool.running() == 0);
    REQUIRE(pool.waiting() == 0);
  }
}

// Sends 270 requests at once to nine idle runners. Returns how many of them
// started within 30 steps.
int StartsAfterBurst(uint64_t seed, bool counts_waiting) {
  PoolOptions options;
  options.seed = seed;
  options.pool_lag = seconds(1);
  options.counts_waiting = counts_waiting;
  options.arrivals_per_step = 0;
  SimulatedPool pool(options);
  pool.RunSteps(30);
  pool.Burst(270);
  pool.RunSteps(30);
  return pool.starts();
}

TEST_CASE("a burst is under way within two lags of the pool's sum") {
  for (uint64_t seed = 0; seed < 200; ++seed) {
    CAPTURE(seed);
    REQUIRE(StartsAfterBurst(seed, true) > 200);
  }
}

TEST_CASE("a cap derived from running requests only delays a burst") {
  CHECK(StartsAfterBurst(1, false) < 100);
}

}  // namespace
}  // namespace wasabi::routing
