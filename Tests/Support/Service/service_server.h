// Simulates a plain service: each call takes a fixed time, is recorded as an
// execution and returns its idempotency key. Calls are not deduplicated.

#ifndef TESTS_SUPPORT_SERVICE_SERVICE_SERVER_H_
#define TESTS_SUPPORT_SERVICE_SERVICE_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibHttp/server.h"
#include "Tests/Support/execution_log.h"
#include "Tests/Support/host_registration.h"

namespace wasabi::support {

struct ServiceOptions {
  core::SocketAddress address;
  core::SocketAddress platform;
  HostRow host;
  // Duration of a call.
  core::Duration work_time = std::chrono::milliseconds(5);
  // Minimum time from StartGracefulShutdown() to the exit of the process.
  core::Duration leave_linger = std::chrono::milliseconds(1000);
  // Path of the execution log; empty to write none.
  std::string execution_file;
};

class ServiceServer {
 public:
  // Starts listening on the given address. `loop` must outlive the server.
  static absl::StatusOr<std::unique_ptr<ServiceServer>> Create(
      core::EventLoop* loop,
      const ServiceOptions& options);

  // Starts a graceful shutdown: rejects new calls, completes those in flight,
  // then stops the loop.
  void StartGracefulShutdown();

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  // A call in progress.
  struct Call {
    ExchangePtr exchange;
    size_t execution = 0;
    // True if a fault drops the answer after the call is executed.
    bool is_answer_lost = false;
    std::unique_ptr<core::Timer> timer;
  };

  // Maps a fault kind to the counter of further calls that it affects.
  struct FaultCounter {
    std::string_view kind;
    uint32_t ServiceServer::*counter;
  };

  ServiceServer(core::EventLoop* loop, const ServiceOptions& options);
  absl::Status Start();

  static const std::vector<FaultCounter>& FaultCounters();
  static bool TakeFault(uint32_t* counter);
  void OnRequest(const ExchangePtr& exchange);
  void OnCall(const ExchangePtr& exchange);
  void OnLoad(const ExchangePtr& exchange);
  void OnFault(const ExchangePtr& exchange);
  void OnExecutions(const ExchangePtr& exchange);
  void FinishCall(uint64_t number);
  void StopWhenDrained();

  core::EventLoop* loop_;
  const ServiceOptions options_;
  ExecutionLog executions_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<HostRegistration> registration_;
  std::unique_ptr<core::Timer> leave_timer_;
  std::map<uint64_t, Call> calls_;
  uint64_t next_call_ = 1;
  uint32_t peak_running_ = 0;
  uint32_t crash_count_ = 0;
  uint32_t lost_answer_count_ = 0;
  uint32_t refusal_count_ = 0;
  uint32_t slow_call_count_ = 0;
  core::Duration slow_call_time_ = core::Duration::zero();
  bool is_leaving_ = false;
  core::TimePoint earliest_exit_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_SERVICE_SERVICE_SERVER_H_
