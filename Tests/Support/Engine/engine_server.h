// The HTTP side of the stand-in engine; see "Router → model engine" in
// docs/PROTOCOLS.md.

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
  // What the engine serves at its start.
  std::string model = "m";
  std::string version = "1";
  // Time between two load reports; a report is as old as that at most.
  core::Duration report_lag = std::chrono::milliseconds(200);
  // Delay of cache events, and the share of them that is never reported.
  core::Duration cache_event_lag = std::chrono::milliseconds(500);
  double cache_event_loss = 0.05;
  // Whether orders with an old fencing number are refused.
  bool check_fencing = true;
  // Time that an order takes; the engine refuses work meanwhile.
  core::Duration order_time = std::chrono::milliseconds(500);
  // How long a leaving engine still answers, at least.
  core::Duration leave_linger = std::chrono::milliseconds(1000);
  // Requests that wait at most; further ones are refused as overload.
  uint32_t max_waiting = 256;
  // Where executions are written; empty for nowhere.
  std::string execution_file;
  uint64_t seed = 1;
};

class EngineServer {
 public:
  static absl::StatusOr<std::unique_ptr<EngineServer>> Create(
      core::EventLoop* loop,
      const EngineOptions& options);

  // Refuses new work, finishes what is in flight, then stops the loop.
  void Leave();

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  // One request in flight and how it is answered.
  struct Stream {
    ExchangePtr exchange;
    std::string request_id;
    std::string digest;
    uint32_t prompt_tokens = 0;
    uint32_t cached_tokens = 0;
    uint32_t answer_tokens = 0;
    size_t execution = 0;
    bool is_fatal = false;
    bool is_duplicating = false;
    // Tokens before the connection is cut; 0 for no cut.
    uint32_t cut_after = 0;
  };

  // The load as the engine reported it last.
  struct LoadReport {
    EngineLoad load;
    core::TimePoint made;
  };

  // The engine's own count at one moment, for the checker.
  struct LoadSample {
    int64_t at_ns = 0;
    EngineLoad load;
  };

  struct CacheNotice {
    core::TimePoint visible;
    CacheEvent event;
  };

  // One row of the table of paths.
  struct Route {
    std::string_view method;
    std::string_view path;
    void (EngineServer::*handler)(const ExchangePtr&);
  };

  EngineServer(core::EventLoop* loop, const EngineOptions& options);
  absl::Status Start();

  static const std::vector<Route>& Routes();
  void OnRequest(const ExchangePtr& exchange);
  bool IsSilenced(const ExchangePtr& exchange);

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
  void PlantFaults(Stream* stream);
  void ApplyFault(const Fault& fault);

  void StartSteps();
  void RunStep();
  void Deliver(const StepOutput& output, Stream* stream);
  void WriteToken(Stream* stream, uint32_t index);
  void WriteText(Stream* stream, const std::string& text);
  void EndStream(SequenceId sequence, bool completed);

  void Sample();
  void CollectCacheEvents();
  void ExitWhenDone();
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
  // One for each answer that a fault makes late.
  std::vector<std::unique_ptr<core::Timer>> late_timers_;
  std::map<SequenceId, Stream> streams_;
  std::set<std::string> known_peers_;
  std::set<std::string> silent_peers_;
  // Exchanges of silenced connections, kept so that they stay unanswered.
  std::vector<ExchangePtr> silent_exchanges_;
  core::TimePoint next_step_;
  bool is_stepping_ = false;
  LoadReport report_;
  core::TimePoint no_reports_until_;
  core::TimePoint reports_leaving_until_;
  std::deque<LoadSample> samples_;
  uint32_t peak_running_ = 0;
  std::deque<CacheNotice> cache_notices_;
  int64_t highest_fencing_ = -1;
  nlohmann::json wanted_;
  nlohmann::json applied_;
  bool is_applying_order_ = false;
  bool is_leaving_ = false;
  core::TimePoint leave_not_before_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ENGINE_ENGINE_SERVER_H_
