// Runs an experiment: sends the workload's requests at their arrival times,
// waits until all of them end, then collects the records of endpoints and
// routers.

#ifndef UTILITIES_LOAD_LOAD_RUN_H_
#define UTILITIES_LOAD_LOAD_RUN_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibHttp/client.h"
#include "Utilities/Load/call_context.h"
#include "Utilities/Load/endpoint_records.h"
#include "Utilities/Load/experiment.h"
#include "Utilities/Load/host_directory.h"
#include "Utilities/Load/outcome.h"
#include "Utilities/Load/workload.h"

namespace wasabi::load {

struct RunOptions {
  Experiment experiment;
  // Addresses of the entry hosts that are queried for the list of hosts.
  std::vector<core::SocketAddress> entries;
  // Bypasses the routers and sends to `engines` directly, as the baseline for
  // the overhead of routing.
  bool is_direct = false;
  std::vector<core::SocketAddress> engines;
  std::vector<core::SocketAddress> services;
  // Routers whose control traffic is measured.
  std::vector<core::SocketAddress> routers;
  // Execution files, which also cover endpoints that no longer run when the
  // records are collected.
  std::vector<std::string> execution_files;
};

// All data that a run recorded.
struct RunRecords {
  std::vector<ChatOutcome> chats;
  std::vector<ServiceOutcome> services;
  std::vector<EndpointRecords> endpoints;
  // All executions from endpoints and execution files, without duplicates.
  std::vector<support::Execution> executions;
  std::vector<float> token_gaps_ms;
  // Control bytes per second of each router that could be reached.
  std::vector<double> control_bytes_per_second;
  // Queries for the list of hosts.
  uint64_t host_questions = 0;
  // Maximum number of concurrent chat calls.
  uint64_t peak_streams = 0;
  // Measured period, from the end of the warm-up to the last arrival, as
  // CLOCK_MONOTONIC times in nanoseconds.
  int64_t begin_ns = 0;
  int64_t end_ns = 0;
};

class LoadRun {
 public:
  // `loop` must outlive the run.
  LoadRun(core::EventLoop* loop, const RunOptions& options);

  // Starts the run. Calls `callback` once from the event loop when all records
  // have been collected. Call Start only once.
  void Start(std::function<void(const RunRecords& records)> callback);

 private:
  core::Duration Elapsed() const { return loop_->Now() - start_; }
  void OnTurnArrival();
  void OnServiceArrival();
  void StartTurn(core::Duration planned);
  void StartServiceCall();
  void SendServiceCall(const ServiceCallPlan& plan, size_t first_address);
  void OnWarmUpEnd();
  void OnLastArrival();
  void FinishWhenIdle();
  void ReadCounters(std::vector<double>* counters,
                    const std::function<void()>& next);
  void CollectRecords();
  void AddExecutions();

  core::EventLoop* loop_;
  const RunOptions options_;
  const std::string run_name_;
  http::Client client_;
  HostDirectory directory_;
  Workload workload_;
  RunRecords records_;
  CallContext context_;
  std::function<void(const RunRecords&)> callback_;
  core::TimePoint start_;
  core::TimePoint next_turn_;
  core::TimePoint next_service_;
  std::unique_ptr<core::Timer> turn_timer_;
  std::unique_ptr<core::Timer> service_timer_;
  std::unique_ptr<core::Timer> warm_up_timer_;
  std::unique_ptr<core::Timer> end_timer_;
  std::vector<double> counters_before_;
  std::vector<double> counters_after_;
  uint64_t next_request_ = 1;
  uint64_t open_calls_ = 0;
  uint64_t open_streams_ = 0;
  bool has_ended_ = false;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_LOAD_RUN_H_
