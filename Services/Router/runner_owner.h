// All work for one runner passes through its owner, which admits, queues, runs
// and relays it.

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

// What all owners of a process share.
struct OwnerContext {
  core::EventLoop* loop = nullptr;
  // For answers, and for control traffic, which is counted apart.
  http::Client* data_client = nullptr;
  http::Client* control_client = nullptr;
  core::EventRing* events = nullptr;
  core::Metrics* metrics = nullptr;
  AnswerStore* answers = nullptr;
  const RouterSettings* settings = nullptr;
  // The latest known demand on a pool.
  std::function<routing::PoolDemand(const core::PoolId&)> pool_demand;
  // Tells the fleet what was seen of a runner.
  std::function<void(const core::RunnerId&, EndpointCondition)>
      report_condition;
  // Whether a digest may run, after crashes that it was in flight at.
  std::function<routing::QuarantineVerdict(uint64_t)> quarantine_verdict;
  std::function<core::Duration(uint64_t)> quarantine_retry_after;
  // Digests in flight on a runner that died, and a digest that completed.
  std::function<void(const core::RunnerId&, const std::vector<uint64_t>&)>
      report_death;
  std::function<void(uint64_t)> report_completion;
  // The runner's own report, for the strategies that use it.
  std::function<void(const core::RunnerId&, uint32_t)> report_load;
};

class RunnerOwner {
 public:
  RunnerOwner(const OwnerContext* context,
              const platform::ListedHost& runner,
              const routing::AdmissionPolicy& policy);
  ~RunnerOwner();
  RunnerOwner(const RunnerOwner&) = delete;
  RunnerOwner& operator=(const RunnerOwner&) = delete;

  // Decides about `work` and runs it, now or later. `sink` hears the outcome.
  void Submit(const SubmitWork& work, const std::shared_ptr<WorkSink>& sink);

  void NotePointer(const core::ChatKey& chat, const core::RunnerId& target);
  // The runner `target` is gone; pointers to it are useless.
  void ForgetTarget(const core::RunnerId& target);

  // Another host owns the runner from now on: waiting work goes back to its
  // entries, running work goes on.
  void Release();
  // The host owns the runner (again).
  void Resume();
  bool is_released() const { return is_released_; }

  // The former owner has nothing in flight on the runner any more.
  void OnHandOver();

  void SetPolicy(const routing::AdmissionPolicy& policy);
  // False while the runner is drained or listed as leaving.
  void SetListedAsAccepting(bool is_accepting);

  // Periodic work: deadlines, silent connections, waiting requests.
  void Tick();

  routing::PoolDemand Demand() const;
  const core::PoolId& pool() const { return pool_; }
  const core::RunnerId& runner() const { return runner_; }
  bool is_idle() const { return works_.empty(); }
  size_t running() const { return running_count_; }
  core::TimePoint last_use() const { return last_use_; }

 private:
  struct Work;
  using WorkPointer = std::shared_ptr<Work>;

  void Admit(const WorkPointer& work);
  void StartAttempt(const WorkPointer& work);
  void OnChunk(const WorkPointer& work, std::string_view payload);
  void OnAttemptDone(const WorkPointer& work, const absl::Status& status);
  void OnConnectionBroken(const WorkPointer& work, const absl::Status& status);
  void OnProbed(bool is_alive);
  void FinishWork(const WorkPointer& work, const absl::Status& status);
  void DropWork(const WorkPointer& work);
  void Advance();
  void TakeOverSilentStream(const WorkPointer& work);
  void OnReport(const LoadReport& report);
  void OnPollFailure(bool is_refused);
  // Tells the admission and the fleet what the runner's health has become.
  void ApplyHealth();
  // Offers that came before the first word of the runner.
  void AdmitEarlyWork();
  void FailRunning(const absl::Status& status);
  WorkPointer FindWork(const core::RequestId& request) const;
  routing::WorkItem ToItem(const Work& work) const;

  const OwnerContext* context_;
  core::RunnerId runner_;
  core::PoolId pool_;
  core::SocketAddress address_;
  routing::RunnerAdmission admission_;
  std::unique_ptr<RunnerMonitor> monitor_;
  // By the admission's request key.
  std::map<std::string, WorkPointer> works_;
  // Attempts whose connection broke and whose runner is being probed.
  std::vector<std::pair<WorkPointer, absl::Status>> broken_;
  size_t running_count_ = 0;
  routing::EndpointHealth health_;
  routing::EndpointState known_state_ = routing::EndpointState::kUp;
  bool is_runner_heard_of_ = false;
  std::vector<WorkPointer> early_works_;
  bool is_released_ = false;
  bool is_listed_as_accepting_ = true;
  core::TimePoint last_use_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_RUNNER_OWNER_H_
