// Decides about admission, queueing and displacement of requests on behalf of
// the owner of one runner. Deterministic: it uses no clock, sockets or random
// numbers.

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
  // Maximum ratio of the runner's load to the pool's mean: the number of
  // running requests stays at or below ceil(load_bound × mean).
  double load_bound = 1.25;
  // Maximum number of concurrently running requests.
  uint32_t max_running = 64;
  // Maximum number of queued requests.
  uint32_t max_waiting = 256;
  // Prefill speed for tokens that are not cached, in tokens per second.
  double prefill_tokens_per_second = 8000;
  // Cost of a second of cold prefill relative to a second of waiting for the
  // runner whose cache holds the chat's context. Larger values favour cache
  // reuse.
  double miss_cost_factor = 1;
  // Lifetime and maximum number of the pointers for displaced chats.
  core::Duration pointer_lifetime = std::chrono::minutes(30);
  size_t max_pointers = 20000;
  // Age of the pool's total demand when it arrives.
  core::Duration pool_lag = std::chrono::seconds(1);
  // Number of requests that a runner may always run, regardless of the mean. In
  // a pool with few requests per runner, values above 1 exceed the load bound
  // in favour of cache reuse.
  uint32_t minimum_cap = 1;

  auto operator<=>(const AdmissionPolicy&) const = default;
};

// The outcome of offering a request to a runner.
enum class Verdict : uint8_t {
  // Start the request on the runner now.
  kRun,
  // The request is queued. Advance returns its id once it should start, be
  // refused or be displaced.
  kWait,
  // Offer the request to the next runner in its preference order.
  kTryNext,
  // Offer the request to the runner in AdmissionDecision::pointer, whose cache
  // holds the chat's context.
  kFollowPointer,
  // Refuse the request. It did not run; AdmissionDecision::retry_after is the
  // time after which the caller may retry.
  kRefuse,
};

struct AdmissionDecision {
  Verdict verdict = Verdict::kRefuse;
  // Set for kFollowPointer.
  core::RunnerId pointer;
  // Set for kRefuse.
  core::Duration retry_after = core::Duration::zero();
};

// How a request ended.
enum class Ending : uint8_t {
  // The request completed. Its duration is used to estimate service times.
  kCompleted,
  // The request failed, was cancelled, or never started.
  kAborted,
};

// The requests that Advance removed from the queue.
struct AdmissionProgress {
  // Requests to start now.
  std::vector<core::RequestId> to_run;
  // Requests that can no longer meet their deadline. Refuse them immediately.
  std::vector<core::RequestId> to_refuse;
  // Requests to offer to the next runner in their preference order. A request
  // for which this runner is the last choice is included only if the runner
  // stopped accepting work.
  std::vector<core::RequestId> to_displace;
  // Time after which the callers of the refused requests may retry.
  core::Duration retry_after = core::Duration::zero();
};

// The admission state of one runner.
class RunnerAdmission {
 public:
  RunnerAdmission(core::RunnerId runner, const AdmissionPolicy& policy);
  ~RunnerAdmission();
  RunnerAdmission(const RunnerAdmission&) = delete;
  RunnerAdmission& operator=(const RunnerAdmission&) = delete;

  // Decides about a new request. `pool` is the latest known demand on the whole
  // pool. If a request with the same id is already running or queued, the new
  // one replaces it.
  AdmissionDecision Offer(const WorkItem& item,
                          const PoolDemand& pool,
                          core::TimePoint now);

  // Records that a running request ended or was cancelled, or removes a queued
  // request. Unknown ids are ignored.
  void Finish(const core::RequestId& request,
              core::TimePoint now,
              Ending ending = Ending::kCompleted);

  // Starts, refuses and displaces queued requests as far as possible. Must be
  // called after Finish and periodically from a timer.
  AdmissionProgress Advance(const PoolDemand& pool, core::TimePoint now);

  // Records that a chat whose first choice is this runner was displaced to
  // `target`.
  void RecordPointer(const core::ChatKey& chat,
                     const core::RunnerId& target,
                     core::TimePoint now);

  // Removes all pointers to `target`, which is no longer available.
  void ErasePointersTo(const core::RunnerId& target);

  // Records the runner's load report, which was created `age` ago. Reported
  // load that this owner did not start is counted while requests of a previous
  // owner may still be running, but for at most 60 s after the first report. A
  // new owner must pass a report before its first call of Offer.
  void ObserveReport(uint32_t running_requests,
                     uint32_t outstanding_tokens,
                     core::TimePoint now,
                     core::Duration age = core::Duration::zero());

  // Stops counting reported load of previous owners, because the previous owner
  // has transferred its state.
  void StopCountingInheritedLoad();

  // Starts counting reported load of previous owners again, as for a new owner,
  // because another host may have acted as the owner in the meantime.
  void StartCountingInheritedLoad();

  // Sets whether the runner accepts new work. False if it is leaving, drained
  // or down.
  void SetAcceptsWork(bool accepts_work);

  // Sets the share of the load bound that the runner takes, in (0, 1]; below 1
  // during slow start.
  void SetLoadShare(double share);

  // Records that the digest is no longer a suspect, so queued requests with it
  // need not run alone.
  void ReleaseSuspect(uint64_t content_digest);

  // Replaces the policy. Running and queued requests are kept.
  void SetPolicy(const AdmissionPolicy& policy);

  // Returns the demand on this runner, for the pool's total.
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
