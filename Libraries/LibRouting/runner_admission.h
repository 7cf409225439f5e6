// Admission, queueing and displacement at the owner of one runner. Pure: no
// clock, no sockets, no random numbers.

#ifndef LIBROUTING_RUNNER_ADMISSION_H_
#define LIBROUTING_RUNNER_ADMISSION_H_

#include <memory>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibRouting/pool_load.h"
#include "LibRouting/work_item.h"

namespace wasabi::routing {

struct AdmissionPolicy {
  // The runner's load stays at or below ceil(load_bound × mean).
  double load_bound = 1.25;
  // Most requests that run at once.
  uint32_t max_running = 64;
  // Most requests that wait.
  uint32_t max_waiting = 256;
  // Speed of prefilling tokens that are not cached, tokens per second.
  double prefill_tokens_per_second = 8000;
  // What a second of cold prefill counts against a second of waiting at the
  // runner that has the chat's context; larger values favour cache reuse.
  double miss_cost_factor = 1;
  // How long a pointer for a displaced chat is kept, and how many are.
  core::Duration pointer_lifetime = std::chrono::minutes(30);
  size_t max_pointers = 20000;
  // Age of the pool's sums when they arrive.
  core::Duration pool_lag = std::chrono::seconds(1);
  // Requests that a runner may run whatever the mean. Above 1 it trades the
  // bound of a pool with few requests per runner for cache reuse.
  uint32_t minimum_cap = 1;

  auto operator<=>(const AdmissionPolicy&) const = default;
};

enum class Verdict : uint8_t {
  // Start the request on the runner now.
  kRun,
  // The request waits here; Advance will name it.
  kWait,
  // Try the next runner of the preference order.
  kTryNext,
  // Go to the runner in AdmissionDecision::pointer, where the chat is warm.
  kFollowPointer,
  // Give up: the request did not run; retry_after says when to come back.
  kRefuse,
};

struct AdmissionDecision {
  Verdict verdict = Verdict::kRefuse;
  core::RunnerId pointer;
  core::Duration retry_after = core::Duration::zero();
};

// How a request ended.
enum class Ending : uint8_t {
  // It ran to its end; its duration counts for the estimate of service times.
  kCompleted,
  // It failed, was cancelled, or never started.
  kAborted,
};

// What became of waiting requests.
struct AdmissionProgress {
  // Start these now.
  std::vector<core::RequestId> to_run;
  // These can't make their deadline any more: refuse them at once.
  std::vector<core::RequestId> to_refuse;
  // These do better on the next runner of their preference order. A last
  // choice is among them only when its runner stopped accepting work.
  std::vector<core::RequestId> to_displace;
  // For the refused ones.
  core::Duration retry_after = core::Duration::zero();
};

class RunnerAdmission {
 public:
  RunnerAdmission(core::RunnerId runner, const AdmissionPolicy& policy);
  ~RunnerAdmission();
  RunnerAdmission(const RunnerAdmission&) = delete;
  RunnerAdmission& operator=(const RunnerAdmission&) = delete;

  // Decides about a new request. `pool` is the latest known demand on the
  // whole pool. A request whose id already runs or waits here takes the place
  // of the earlier one.
  AdmissionDecision Offer(const WorkItem& item,
                          const PoolDemand& pool,
                          core::TimePoint now);

  // The request has ended, was cancelled, or stopped waiting.
  void Finish(const core::RequestId& request,
              core::TimePoint now,
              Ending ending = Ending::kCompleted);

  // Moves waiting requests on; called after Finish and on a timer.
  AdmissionProgress Advance(const PoolDemand& pool, core::TimePoint now);

  // A chat whose first choice is this runner was displaced to `target`.
  void NotePointer(const core::ChatKey& chat,
                   const core::RunnerId& target,
                   core::TimePoint now);

  // Drops the pointers that lead to `target`, which is gone.
  void ForgetTarget(const core::RunnerId& target);

  // The runner's own report, `age` old: a floor for the load while a former
  // owner's requests may still run there. The floor ends by itself 60 s after
  // the first report. A new owner gets a report before its first Offer.
  void ObserveReport(uint32_t running_requests,
                     uint32_t outstanding_tokens,
                     core::TimePoint now,
                     core::Duration age = core::Duration::zero());

  // A former owner handed over: the floor from reports is no longer needed.
  void ClearFloor();

  // Another host may have acted as owner meanwhile: reports count as a floor
  // again, as for a new owner.
  void RequireFloor();

  // The runner takes no new work (leaving, drained or down).
  void SetAcceptsWork(bool accepts_work);

  // The share of the load bound that the runner takes, in (0, 1]; below 1
  // during slow start.
  void SetLoadShare(double share);

  // The digest is no longer suspected: waiting requests with it need not run
  // alone.
  void ReleaseSuspect(uint64_t content_digest);

  void SetPolicy(const AdmissionPolicy& policy);

  // The demand on this runner, for the pool's sum.
  PoolDemand Demand(core::TimePoint now) const;

  uint32_t running_requests() const;
  uint32_t waiting_requests() const;
  size_t pointer_count() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_RUNNER_ADMISSION_H_
