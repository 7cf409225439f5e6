// One soak: real hosts, stand-ins around them, callers, and faults from a
// seeded plan. The history is checked while it runs.

#ifndef TESTS_SOAK_SOAK_RUN_H_
#define TESTS_SOAK_SOAK_RUN_H_

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
#include "Tests/Soak/router_process.h"
#include "Tests/Soak/soak_options.h"

namespace wasabi::soak {

struct SoakResult {
  size_t calls = 0;
  size_t served = 0;
  // Calls that were told that they have not run.
  size_t refused = 0;
  std::vector<Violation> violations;
};

class SoakRun {
 public:
  // Starts the hosts. `loop` must outlive the run.
  static absl::StatusOr<std::unique_ptr<SoakRun>> Create(
      core::EventLoop* loop,
      const SoakOptions& options);

  // Runs to the end, or to the first violation.
  SoakResult Run();

 private:
  SoakRun(core::EventLoop* loop, const SoakOptions& options);

  absl::Status Start();
  void Poll();
  void SendRequests();
  void StrikeFaults();
  void CheckNow();
  void Strike(const FaultAction& action);

  // Handlers of faults.
  void StopHost(const FaultAction& action);
  void ReloadHost(const FaultAction& action);
  void ChangeConfiguration(const FaultAction& action);
  void ReplaceEndpoint(const FaultAction& action);
  void UnregisterEndpoint(const FaultAction& action);
  void KillHost(const FaultAction& action);
  void PauseHost(const FaultAction& action);
  void KillAllHosts(const FaultAction& action);
  void CutHostFromStore(const FaultAction& action);
  void CutHostOneWay(const FaultAction& action);
  void ResetStoreConnections(const FaultAction& action);
  void SilenceStoreConnections(const FaultAction& action);
  void TurnHostAway(const FaultAction& action);
  void StopStore(const FaultAction& action);
  void SlowStore(const FaultAction& action);
  void LoseStoreAnswers(const FaultAction& action);
  void CompactStore(const FaultAction& action);
  void CrashEndpoint(const FaultAction& action);
  void FailAtEndpoint(const FaultAction& action);
  void LoseEndpointAnswers(const FaultAction& action);
  void CutEndpointStreams(const FaultAction& action);
  void SlowEndpoint(const FaultAction& action);
  void ResetEndpointConnections(const FaultAction& action);
  void SilenceEndpointConnections(const FaultAction& action);
  void DelayEndpointLink(const FaultAction& action);
  void CutEndpointOneWay(const FaultAction& action);

  RouterProcess* HostOf(const FaultAction& action);
  void AddDisturbance(Disturbance::Scope scope,
                      size_t host,
                      core::Duration duration);
  void SetStoreFaults(const support::StoreFaults& faults,
                      core::Duration duration);
  // Calls `task` after `delay`.
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
