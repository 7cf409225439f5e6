// The HTTP server of the stand-in engine, which runs an EngineCore in real
// time; see "Router → model engine" in docs/PROTOCOLS.md.

#ifndef TESTS_SUPPORT_ENGINE_ENGINE_SERVER_H_
#define TESTS_SUPPORT_ENGINE_ENGINE_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/random_source.h"
#include "LibHttp/server.h"
#include "Tests/Support/Engine/engine_core.h"
#include "Tests/Support/Engine/engine_faults.h"
#include "Tests/Support/execution_log.h"
#include "Tests/Support/host_registration.h"

namespace wasabi::support {

struct EngineOptions {
  core::SocketAddress address;
  core::SocketAddress platform;
  HostRow host;
  EngineLimits limits;
  // Model and version that the engine serves after its start.
  std::string model = "m";
  std::string version = "1";
  // Interval between two load reports and thus the maximum staleness of one.
  core::Duration report_lag = std::chrono::milliseconds(200);
  // Delay of cache events, and the share of them that is lost, in [0, 1].
  core::Duration cache_event_lag = std::chrono::milliseconds(500);
  double cache_event_loss = 0.05;
  // Whether orders with a stale fencing number are rejected.
  bool check_fencing = true;
  // Time that the engine takes to apply an order. It rejects chat requests
  // meanwhile.
  core::Duration order_time = std::chrono::milliseconds(500);
  // Minimum time from StartGracefulShutdown() to the exit of the process.
  core::Duration leave_linger = std::chrono::milliseconds(1000);
  // Maximum queue length; further requests are rejected as overloaded.
  uint32_t max_waiting = 256;
  // Path of the execution log; empty to write none.
  std::string execution_file;
  uint64_t seed = 1;
};

class EngineServer {
 public:
  // Starts listening on the given address. `loop` must outlive the server.
  static absl::StatusOr<std::unique_ptr<EngineServer>> Create(
      core::EventLoop* loop,
      const EngineOptions& options);

  // Starts a graceful shutdown: rejects new requests, completes those in
  // flight, then stops the loop.
  void StartGracefulShutdown();

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  // A chat request in flight and the state of its streamed answer.
  struct Stream {
    ExchangePtr exchange;
    std::string request_id;
    std::string digest;
    uint32_t prompt_tokens = 0;
    uint32_t cached_tokens = 0;
    uint32_t answer_tokens = 0;
    size_t execution = 0;
    bool crashes_process = false;
    bool duplicates_tokens = false;
    // Tokens left to send before the connection is aborted; 0 for no abort.
    uint32_t cut_after = 0;
  };

  // The load as of the latest report, which GET /v1/load returns.
  struct LoadReport {
    EngineLoad load;
    core::TimePoint created_at;
  };

  // The actual load at one moment, for the checker of the test results.
  struct LoadSample {
    int64_t at_ns = 0;
    EngineLoad load;
  };

  // A cache event that is reported only from `visible_at` on.
  struct DelayedCacheEvent {
    core::TimePoint visible_at;
    CacheEvent event;
  };

  // Maps a method and a path to a handler. A path may end with the wildcard *.
  struct Route {
    std::string_view method;
    std::string_view path;
    void (EngineServer::*handler)(const ExchangePtr&);
  };

  EngineServer(core::EventLoop* loop, const EngineOptions& options);
  absl::Status Start();

  static const std::vector<Route>& Routes();
  void OnRequest(const ExchangePtr& exchange);
  bool HoldIfSilenced(const ExchangePtr& exchange);

  void OnChat(const ExchangePtr& exchange);
  void OnCancel(const ExchangePtr& exchange);
  void OnLoad(const ExchangePtr& exchange);
  void OnCacheEvents(const ExchangePtr& exchange);
  void OnOrder(const ExchangePtr& exchange);
  void OnReadOrder(const ExchangePtr& exchange);
  void OnExport(const ExchangePtr& exchange);
  void OnImport(const ExchangePtr& exchange);
  void OnFault(const ExchangePtr& exchange);
  void OnExecutions(const ExchangePtr& exchange);
  void OnHealth(const ExchangePtr& exchange);

  bool RefuseChat(const ExchangePtr& exchange, const nlohmann::json& body);
  bool DelayChat(const ExchangePtr& exchange, const nlohmann::json& body);
  void StartChat(const ExchangePtr& exchange, const nlohmann::json& body);
  void InjectStreamFaults(Stream* stream);
  void ApplyFault(const Fault& fault);

  void StartSteps();
  void RunStep();
  void Deliver(const StepOutput& output, Stream* stream);
  void WriteToken(Stream* stream, uint32_t index);
  void WriteText(Stream* stream, const std::string& text);
  void EndStream(SequenceId sequence, bool completed);

  void Sample();
  void QueueCacheEvents();
  void StopWhenDrained();
  nlohmann::json OrderState() const;

  core::EventLoop* loop_;
  const EngineOptions options_;
  EngineCore core_;
  ExecutionLog executions_;
  FaultSet faults_;
  core::RandomSource random_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<HostRegistration> registration_;
  std::unique_ptr<core::Timer> step_timer_;
  std::unique_ptr<core::Timer> sample_timer_;
  std::unique_ptr<core::Timer> report_timer_;
  std::unique_ptr<core::Timer> order_timer_;
  std::unique_ptr<core::Timer> fault_timer_;
  std::unique_ptr<core::Timer> leave_timer_;
  // One timer for each answer that a kLate fault has delayed.
  std::vector<std::unique_ptr<core::Timer>> late_timers_;
  std::map<SequenceId, Stream> streams_;
  std::set<std::string> seen_peers_;
  std::set<std::string> silent_peers_;
  // Exchanges on silenced connections; holding them keeps the connections open
  // without an answer.
  std::vector<ExchangePtr> silent_exchanges_;
  core::TimePoint next_step_;
  bool is_stepping_ = false;
  LoadReport report_;
  core::TimePoint load_reports_disabled_until_;
  core::TimePoint reports_leaving_until_;
  std::deque<LoadSample> samples_;
  uint32_t peak_running_ = 0;
  std::deque<DelayedCacheEvent> delayed_cache_events_;
  int64_t highest_fencing_ = -1;
  nlohmann::json desired_state_;
  nlohmann::json applied_state_;
  bool is_applying_order_ = false;
  bool is_leaving_ = false;
  core::TimePoint earliest_exit_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ENGINE_ENGINE_SERVER_H_
