// Runs one soak: real hosts, stand-ins for the store and the endpoints,
// callers, and faults from a seeded plan. Checks the history while the run
// proceeds.

#ifndef TESTS_SOAK_SOAK_RUN_H_
#define TESTS_SOAK_SOAK_RUN_H_

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/random_source.h"
#include "Tests/Soak/caller.h"
#include "Tests/Soak/checker.h"
#include "Tests/Soak/endpoint_fleet.h"
#include "Tests/Soak/fault_plan.h"
#include "Tests/Soak/operator.h"
#include "Tests/Soak/refusal_counts.h"
#include "Tests/Soak/router_process.h"
#include "Tests/Soak/soak_options.h"

namespace wasabi::soak {

struct SoakResult {
  size_t calls = 0;
  size_t served = 0;
  // Calls answered with status 503.
  size_t refused = 0;
  // Streams that callers took up again, and those of them that were served.
  size_t resumed = 0;
  size_t continued = 0;
  RefusalCounts refusals;
  std::vector<Violation> violations;
};

class SoakRun {
 public:
  // Starts the endpoints and hosts. `loop` must outlive the run.
  static absl::StatusOr<std::unique_ptr<SoakRun>> Create(
      core::EventLoop* loop,
      const SoakOptions& options);

  // Runs until `options.length` has passed, or until the first violation.
  SoakResult Run();

 private:
  SoakRun(core::EventLoop* loop, const SoakOptions& options);

  absl::Status Start();
  void Poll();
  void SendRequests();
  void InjectDueFaults();
  void CheckNow();
  // Takes a backup of the store if one is due.
  void BackUpStore();
  void InjectFault(const FaultAction& action);

  // Fault handlers, one for each FaultKind.
  void StopHost(const FaultAction& action);
  void StopSeveralHosts(const FaultAction& action);
  void StopHostAgain(const FaultAction& action);
  void SignalHostTwice(const FaultAction& action);
  void ReloadHost(const FaultAction& action);
  void ChangeConfiguration(const FaultAction& action);
  void ReplaceEndpoint(const FaultAction& action);
  void UnregisterEndpoint(const FaultAction& action);
  void LeaveByAnswers(const FaultAction& action);
  void EvacuateDataCentre(const FaultAction& action);
  void KillHost(const FaultAction& action);
  void PauseHost(const FaultAction& action);
  void KillAllHosts(const FaultAction& action);
  void CutHostFromStore(const FaultAction& action);
  void CutHostOneWay(const FaultAction& action);
  void ResetStoreConnections(const FaultAction& action);
  void SilenceStoreConnections(const FaultAction& action);
  void RefuseHost(const FaultAction& action);
  void StopStore(const FaultAction& action);
  void SlowStore(const FaultAction& action);
  void LoseStoreAnswers(const FaultAction& action);
  void CompactStore(const FaultAction& action);
  void RestoreStore(const FaultAction& action);
  void CrashEndpoint(const FaultAction& action);
  void FailEndpointRequests(const FaultAction& action);
  void LoseEndpointAnswers(const FaultAction& action);
  void CutEndpointStreams(const FaultAction& action);
  void SlowEndpoint(const FaultAction& action);
  void AnswerUnframed(const FaultAction& action);
  void SendEndlessly(const FaultAction& action);
  void CopyRefusals(const FaultAction& action);
  void RepeatRefusals(const FaultAction& action);
  void RenewEndpoint(const FaultAction& action);
  void TakeAddressOver(const FaultAction& action);
  void PauseEndpoint(const FaultAction& action);
  void ResetEndpointConnections(const FaultAction& action);
  void SilenceEndpointConnections(const FaultAction& action);
  void DelayEndpointLink(const FaultAction& action);
  void CutEndpointOneWay(const FaultAction& action);
  void SendHarmfulPrompts(const FaultAction& action);
  void LimitEndpoint(const FaultAction& action);
  void PauseHostBesideBrittle(const FaultAction& action);
  void KillAllBesideRefusals(const FaultAction& action);
  void LimitWhileLapsing(const FaultAction& action);
  void SendMalformed(const FaultAction& action);
  void AnswerEarly(const FaultAction& action);
  void BearAgain(const FaultAction& action);

  // Returns the host that `action.target` selects.
  RouterProcess* TargetHost(const FaultAction& action);
  void AddDisturbance(Disturbance::Scope scope,
                      size_t host,
                      core::Duration duration);
  // Applies `faults` to the store servers of all hosts for `duration`.
  void SetStoreFaults(const support::StoreFaults& faults,
                      core::Duration duration);
  // Calls `task` once after `delay`.
  void CallAfter(core::Duration delay, std::function<void()> task);
  core::Duration Elapsed() const { return loop_->Now() - history_.started_at; }

  core::EventLoop* const loop_;
  const SoakOptions options_;
  core::RandomSource random_;
  History history_;
  support::WatchedLog log_;
  Operator operator_;
  EndpointFleet endpoints_;
  std::vector<std::unique_ptr<RouterProcess>> hosts_;
  std::vector<HostAddresses> addresses_;
  std::vector<std::unique_ptr<Caller>> callers_;
  // The latest backups of the store, oldest first.
  std::deque<support::KeyedLog> backups_;
  core::TimePoint backup_at_;
  std::vector<FaultAction> plan_;
  size_t next_fault_ = 0;
  double requests_due_ = 0;
  core::TimePoint polled_at_;
  core::TimePoint check_at_;
  std::vector<std::unique_ptr<core::Timer>> timers_;
  std::unique_ptr<core::Timer> poll_timer_;
  std::vector<Violation> violations_;
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_SOAK_RUN_H_
