// A stand-in for a plain service: it works for a while, records the execution
// and names the idempotency key in its answer. It doesn't deduplicate.

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
  // Time that a call takes.
  core::Duration work_time = std::chrono::milliseconds(5);
  // How long a leaving service still answers, at least.
  core::Duration leave_linger = std::chrono::milliseconds(1000);
  // Where executions are written; empty for nowhere.
  std::string execution_file;
};

class ServiceServer {
 public:
  static absl::StatusOr<std::unique_ptr<ServiceServer>> Create(
      core::EventLoop* loop,
      const ServiceOptions& options);

  // Refuses new work, finishes what is in flight, then stops the loop.
  void Leave();

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  // One call that is being worked on.
  struct Call {
    ExchangePtr exchange;
    size_t execution = 0;
    // The answer is dropped though the call was executed.
    bool is_answer_lost = false;
    std::unique_ptr<core::Timer> timer;
  };

  // One row of the table of faults: how many further calls it hits.
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
  void ExitWhenDone();

  core::EventLoop* loop_;
  const ServiceOptions options_;
  ExecutionLog executions_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<HostRegistration> registration_;
  std::unique_ptr<core::Timer> leave_timer_;
  std::map<uint64_t, Call> calls_;
  uint64_t next_call_ = 1;
  uint32_t peak_running_ = 0;
  uint32_t crashes_ = 0;
  uint32_t lost_answers_ = 0;
  uint32_t refusals_ = 0;
  uint32_t slow_calls_ = 0;
  core::Duration slow_time_ = core::Duration::zero();
  bool is_leaving_ = false;
  core::TimePoint leave_not_before_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_SERVICE_SERVICE_SERVER_H_
