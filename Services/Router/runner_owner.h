// Owns all work for one runner: admits, queues and runs requests and relays
// their answers.

#ifndef SERVICES_ROUTER_RUNNER_OWNER_H_
#define SERVICES_ROUTER_RUNNER_OWNER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibCore/identifier.h"
#include "LibCore/metrics.h"
#include "LibHttp/client.h"
#include "LibRouting/endpoint_health.h"
#include "LibRouting/pool_load.h"
#include "LibRouting/quarantine_table.h"
#include "LibRouting/runner_admission.h"
#include "Services/Router/answer_store.h"
#include "Services/Router/endpoint_directory.h"
#include "Services/Router/engine_attempt.h"
#include "Services/Router/router_settings.h"
#include "Services/Router/runner_monitor.h"
#include "Services/Router/work_message.h"
#include "Services/Router/work_sink.h"

namespace wasabi::router {

// Dependencies shared by all runner owners of a process; they must outlive the
// owners.
struct OwnerContext {
  core::EventLoop* loop = nullptr;
  // Client for requests to engines, and client for control traffic, which is
  // counted separately.
  http::Client* data_client = nullptr;
  http::Client* control_client = nullptr;
  core::EventRing* events = nullptr;
  core::Metrics* metrics = nullptr;
  AnswerStore* answers = nullptr;
  const RouterSettings* settings = nullptr;
  // Returns the latest known fleet-wide demand on a pool.
  std::function<routing::PoolDemand(const core::PoolId&)> pool_demand;
  // Shares the observed condition of a runner with the fleet.
  std::function<void(const core::RunnerId&, EndpointCondition)>
      report_condition;
  // Returns whether a request with this content digest may run, given earlier
  // crashes with it in flight.
  std::function<routing::QuarantineVerdict(uint64_t)> quarantine_verdict;
  // Returns the time until a quarantined digest may be retried.
  std::function<core::Duration(uint64_t)> quarantine_retry_after;
  // Reports the digests that were in flight on a runner that crashed.
  std::function<void(const core::RunnerId&, const std::vector<uint64_t>&)>
      report_crash;
  // Reports a digest whose request completed.
  std::function<void(uint64_t)> report_completion;
  // Records the number of requests that the runner reported, for strategies
  // that use it.
  std::function<void(const core::RunnerId&, uint32_t)> report_load;
};

// The owner of one runner. Not thread-safe; all callbacks run on the event
// loop.
class RunnerOwner {
 public:
  // `context` must outlive the owner.
  RunnerOwner(const OwnerContext* context,
              const platform::ListedHost& runner,
              const routing::AdmissionPolicy& policy);
  // Cancels all attempts. No callback runs afterwards.
  ~RunnerOwner();
  RunnerOwner(const RunnerOwner&) = delete;
  RunnerOwner& operator=(const RunnerOwner&) = delete;

  // Admits, queues or rejects `work`. `sink` receives the outcome, possibly
  // before this function returns.
  void Submit(const SubmitWork& work, const std::shared_ptr<WorkSink>& sink);

  // Records that the context of `chat` is on the runner `target`.
  void RecordPointer(const core::ChatKey& chat, const core::RunnerId& target);
  // Removes the pointers to the runner `target`, which has been removed.
  void ErasePointersTo(const core::RunnerId& target);

  // Called when another host becomes the owner. Returns waiting work to its
  // entry routers; running work continues.
  void Release();
  // Called while this host owns the runner. Has an effect only after Release.
  void Resume();
  bool is_released() const { return is_released_; }

  // Called when the former owner has no more work in flight on the runner.
  void OnOwnershipTransfer();

  void SetPolicy(const routing::AdmissionPolicy& policy);
  // Sets whether the host list and configuration allow new work. False if the
  // runner is drained or listed as leaving.
  void SetListedAsAccepting(bool is_accepting);

  // Periodic work: expires deadlines, detects silent connections and starts
  // waiting requests.
  void Tick();

  // Returns the demand on this runner.
  routing::PoolDemand Demand() const;
  const core::PoolId& pool() const { return pool_; }
  const core::RunnerId& runner() const { return runner_; }
  // Returns true if no admitted work runs or waits. Deferred work is not
  // counted.
  bool is_idle() const { return work_by_key_.empty(); }
  size_t running() const { return running_count_; }
  core::TimePoint last_use() const { return last_use_; }

 private:
  struct Work;
  using WorkPointer = std::shared_ptr<Work>;
  // An attempt that lost its connection, and how.
  using BrokenAttempt = std::pair<WorkPointer, absl::Status>;

  void Admit(const WorkPointer& work);
  void StartAttempt(const WorkPointer& work);
  void OnChunk(const WorkPointer& work, std::string_view payload);
  void OnAttemptDone(const WorkPointer& work, const absl::Status& status);
  // Probes the runner after an attempt lost its connection, to find out whether
  // the runner crashed.
  void OnConnectionBroken(const WorkPointer& work, const absl::Status& status);
  void OnProbeDone(bool is_alive);
  // Reports the requests that may have crashed the runner.
  void ReportCrash(const std::vector<BrokenAttempt>& broken);
  // Returns work that never reached the runner to its entry router.
  void ReturnUnsent(const WorkPointer& work);
  void FinishWork(const WorkPointer& work, const absl::Status& status);
  // Removes `work` without notifying its sink.
  void DropWork(const WorkPointer& work);
  // Starts, refuses or displaces waiting requests.
  void Advance();
  // Cancels an attempt whose stream is silent, so that the entry router resumes
  // it.
  void CancelSilentAttempt(const WorkPointer& work);
  void OnReport(const LoadReport& report);
  void OnPollFailure(bool is_refused);
  // Updates the admission and shares the runner's health with the fleet.
  void ApplyHealth();
  // Admits the work that arrived before the first poll result.
  void AdmitDeferredWork();
  // Fails all work after the runner is considered down, except attempts that
  // are being probed. Waiting work goes to the next runner.
  void FailRunning(const absl::Status& status);
  WorkPointer FindWork(const core::RequestId& request) const;
  routing::WorkItem ToItem(const Work& work) const;

  const OwnerContext* context_;
  core::RunnerId runner_;
  core::PoolId pool_;
  core::SocketAddress address_;
  routing::RunnerAdmission admission_;
  std::unique_ptr<RunnerMonitor> monitor_;
  // All admitted work, by answer key, which is also its id in the admission.
  std::map<std::string, WorkPointer> work_by_key_;
  // Attempts that lost their connection and wait for the result of probing the
  // runner.
  std::vector<BrokenAttempt> probed_attempts_;
  size_t running_count_ = 0;
  routing::EndpointHealth health_;
  // State that was last recorded as an event.
  routing::EndpointState recorded_state_ = routing::EndpointState::kUp;
  // True after the first poll result, successful or not.
  bool has_first_poll_result_ = false;
  // Work that waits for the first poll result.
  std::vector<WorkPointer> deferred_work_;
  bool is_released_ = false;
  bool is_listed_as_accepting_ = true;
  core::TimePoint last_use_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_RUNNER_OWNER_H_
