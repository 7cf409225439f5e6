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
  // How long a pointer for a displaced chat is kept, and how many are.
  core::Duration pointer_lifetime = std::chrono::minutes(30);
  size_t max_pointers = 20000;

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

// What became of waiting requests.
struct AdmissionProgress {
  // Start these now.
  std::vector<core::RequestId> to_run;
  // These can't make their deadline any more: refuse them at once.
  std::vector<core::RequestId> to_refuse;
  // These do better on the next runner of their preference order.
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
  // whole pool.
  AdmissionDecision Offer(const WorkItem& item,
                          const PoolDemand& pool,
                          core::TimePoint now);

  // The request has ended, was cancelled, or stopped waiting.
  void Finish(const core::RequestId& request, core::TimePoint now);

  // Moves waiting requests on; called after Finish and on a timer.
  AdmissionProgress Advance(const PoolDemand& pool, core::TimePoint now);

  // A chat whose first choice is this runner was displaced to `target`.
  void NotePointer(const core::ChatKey& chat,
                   const core::RunnerId& target,
                   core::TimePoint now);

  // Drops the pointers that lead to `target`, which is gone.
  void ForgetTarget(const core::RunnerId& target);

  // The runner's own report: a floor for the load while a former owner's
  // requests may still run there. Reports lag.
  void ObserveReport(uint32_t running_requests,
                     uint32_t outstanding_tokens,
                     core::TimePoint now);

  // A former owner handed over: the floor from reports is no longer needed.
  void ClearFloor();

  // The runner takes no new work (leaving, drained or down).
  void SetAcceptsWork(bool accepts_work);

  void SetPolicy(const AdmissionPolicy& policy);

  // The demand on this runner, for the pool's sum.
  PoolDemand Demand(core::TimePoint now) const;

  uint32_t running_requests() const;
  uint32_t waiting_requests() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_RUNNER_ADMISSION_H_
