// Discrete-event simulation of one pool. It runs the production placement and
// admission code in virtual time; a simulated runner consists only of a request
// count and the end times of its requests.

#ifndef UTILITIES_DECISIONBENCH_POOL_SIMULATION_H_
#define UTILITIES_DECISIONBENCH_POOL_SIMULATION_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/time.h"
#include "LibRouting/placement.h"
#include "LibRouting/runner_admission.h"
#include "absl/status/statusor.h"

namespace wasabi::bench {

struct SimulationOptions {
  std::string strategy = "owners";
  uint32_t runners = 9;
  // Arrival rate outside the surge.
  double requests_per_second = 40;
  // Mean pause between two turns of a chat, in seconds. The number of distinct
  // chats is this pause multiplied by `requests_per_second`.
  double pause_seconds = 60;
  double load_bound = 1.25;
  uint32_t max_running = 256;
  uint32_t minimum_cap = 1;
  // Maximum number of runners tried for a request; 0 means all.
  uint32_t max_choices = 8;
  // Mean, and standard deviation in log space, of the lognormal service times.
  double service_seconds = 10;
  double service_deviation = 0.6;
  uint32_t prompt_tokens = 4500;
  uint32_t reusable_tokens = 4000;
  uint32_t output_tokens = 300;
  double prefill_tokens_per_second = 8000;
  core::Duration deadline = std::chrono::seconds(60);
  // Staleness of the pool's totals and of the runners' reports.
  core::Duration report_lag = std::chrono::seconds(1);
  core::Duration warm_up = std::chrono::seconds(30);
  core::Duration duration = std::chrono::seconds(120);
  // In the middle third of the time after the warm-up, the arrival rate is
  // multiplied by this factor. The additional requests belong to the share
  // `surge_chats` of the chats.
  double surge_factor = 1.5;
  double surge_chats = 0.01;
  // One runner leaves halfway through the time after the warm-up, and there is
  // no surge.
  bool one_runner_leaves = false;
  uint64_t seed = 1;
};

struct SimulationResult {
  std::string strategy;
  uint64_t requests = 0;
  // Load of the most loaded runner divided by the mean load, sampled every
  // 0.1 s.
  double skew_p50 = 0;
  double skew_p99 = 0;
  // Share of samples in which a runner had more than ceil(load_bound × mean)
  // requests.
  double share_of_samples_above_bound = 0;
  // Share of request starts that raised a runner above this bound, computed
  // with the actual mean at the time of the start.
  double share_of_starts_above_bound = 0;
  // Maximum number of requests above this bound on any runner, over all
  // samples.
  double worst_excess = 0;
  // Share of turns that ran on the same runner as the chat's previous turn.
  double warm_share = 0;
  // The same share after a runner left, for the first turn of each chat and for
  // later turns.
  double warm_share_first_turn_after_leave = 0;
  double warm_share_later_turns_after_leave = 0;
  // Share of requests that were queued at a runner, and share of requests that
  // ran on a runner other than their first choice.
  double waited_share = 0;
  double displaced_share = 0;
  double wait_seconds_p99 = 0;
  uint64_t refused = 0;
  uint64_t refused_while_a_runner_was_under_its_cap = 0;
  // Mean time to compute one preference order, mean time of one Offer call, and
  // Offer calls per request.
  double order_nanoseconds = 0;
  double offer_nanoseconds = 0;
  double offers_per_request = 0;
  // Number of pointers on all runners at the end of the simulation.
  uint64_t pointers = 0;
};

// Simulates one pool with one placement strategy.
class PoolSimulation {
 public:
  // Returns kInvalidIntent if the strategy is unknown.
  static absl::StatusOr<std::unique_ptr<PoolSimulation>> Create(
      const SimulationOptions& options);

  // Runs the simulation to the end of its duration. Call Run only once.
  SimulationResult Run();

 private:
  struct Request {
    uint32_t chat = 0;
    std::vector<size_t> order;
    // Index into `order` of the runner that is currently tried.
    uint32_t choice = 0;
    routing::PointerUse pointer_use = routing::PointerUse::kUnused;
    core::TimePoint arrival;
    // Service time on a warm runner, that is without prefill of the reusable
    // tokens.
    core::Duration service;
    size_t runner = 0;
    bool has_waited = false;
  };
  enum class EventKind : uint8_t { kArrival, kEnd, kTick, kLeave };
  struct Event {
    core::TimePoint time;
    EventKind kind = EventKind::kArrival;
    uint64_t request = 0;

    auto operator<=>(const Event&) const = default;
  };
  struct ChatState {
    uint32_t last_runner = 0;
    bool had_turn_after_leave = false;
  };
  struct Ratio {
    uint64_t hits = 0;
    uint64_t total = 0;
    void Add(bool is_hit);
    double Share() const;
  };

  // Accumulates the real time of many short calls.
  struct Stopwatch {
    std::chrono::steady_clock::duration sum{};
    uint64_t calls = 0;
    void Add(std::chrono::steady_clock::time_point begin);
    double MeanNanoseconds() const;
  };

  PoolSimulation(const SimulationOptions& options,
                 std::unique_ptr<routing::PlacementStrategy> strategy);

  void InitialiseChats();
  void Handle(const Event& event);
  void HandleArrival();
  void HandleEnd(uint64_t request_number);
  void HandleTick();
  void HandleLeave();

  bool IsSurge() const;
  uint32_t DrawChat();
  core::Duration DrawServiceTime();
  core::Duration DrawGap();
  routing::WorkItem MakeItem(uint64_t number, const Request& request) const;

  void PlaceByOwners(uint64_t number);
  void PlaceUnbounded(uint64_t number);
  // Offers the request to one runner. Returns true if no other runner needs to
  // be tried: the request was started, queued or finally refused.
  bool OfferTo(size_t runner, uint64_t number, bool is_last_choice);
  void StartOn(size_t runner, uint64_t number);
  void RecordRefusal(uint64_t number);
  void AdvanceRunner(size_t runner);
  void RecordWarmth(const Request& request, bool is_warm);

  void PublishReports();
  void SampleLoad();
  double MeanRunning() const;
  double CapAt(double mean) const;
  const routing::PoolDemand& LaggingDemand() const;

  const SimulationOptions options_;
  std::unique_ptr<routing::PlacementStrategy> strategy_;
  // Arrivals and service times use separate random sequences, so that all
  // strategies receive the same requests.
  core::RandomSource arrival_random_;
  core::RandomSource service_random_;
  core::TimePoint now_;
  core::TimePoint end_;
  core::TimePoint measure_from_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;

  std::vector<routing::RunnerView> views_;
  std::vector<std::unique_ptr<routing::RunnerAdmission>> admissions_;
  std::vector<uint32_t> running_;
  uint64_t total_running_ = 0;
  std::optional<size_t> left_runner_;
  std::vector<ChatState> chats_;
  std::vector<core::ChatKey> chat_keys_;
  std::vector<Request> requests_;

  struct Report {
    core::TimePoint time;
    routing::PoolDemand demand;
    std::vector<uint32_t> running;
  };
  std::deque<Report> reports_;

  SimulationResult result_;
  std::vector<double> skews_;
  std::vector<double> waits_;
  Ratio above_bound_;
  Ratio starts_above_bound_;
  Ratio warm_;
  Ratio warm_first_after_leave_;
  Ratio warm_later_after_leave_;
  Ratio waited_;
  Ratio displaced_;
  Stopwatch order_time_;
  Stopwatch offer_time_;
};

}  // namespace wasabi::bench

#endif  // UTILITIES_DECISIONBENCH_POOL_SIMULATION_H_
