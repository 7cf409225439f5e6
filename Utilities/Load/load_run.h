// Performs an experiment: sends the workload's requests as they arrive, waits
// for their ends, then gathers the records of endpoints and routers.

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
  // Addresses of entry hosts to ask for the list of hosts.
  std::vector<core::SocketAddress> entries;
  // Sends to `engines` directly, as the baseline of what routing adds.
  bool is_direct = false;
  std::vector<core::SocketAddress> engines;
  std::vector<core::SocketAddress> services;
  // Routers whose control traffic is measured.
  std::vector<core::SocketAddress> routers;
  // Files of endpoints that may be gone when the records are gathered.
  std::vector<std::string> execution_files;
};

// Everything that a run recorded.
struct RunRecords {
  std::vector<ChatOutcome> chats;
  std::vector<ServiceOutcome> services;
  std::vector<EndpointRecords> endpoints;
  // All executions, those of files included, each once.
  std::vector<support::Execution> executions;
  std::vector<float> token_gaps_ms;
  // Control bytes per second of each router that answered.
  std::vector<double> control_bytes_per_second;
  uint64_t host_questions = 0;
  uint64_t peak_streams = 0;
  // The measured time, CLOCK_MONOTONIC: from the warm-up to the last arrival.
  int64_t begin_ns = 0;
  int64_t end_ns = 0;
};

class LoadRun {
 public:
  LoadRun(core::EventLoop* loop, const RunOptions& options);

  // Starts the run; `callback` is called once when all is gathered.
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
  void Gather();
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
