#include "Tests/Support/Service/service_server.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {

namespace {

using core::ResultCode;

// Exit code of the process when an injected fault crashes it.
constexpr int kCrashExitCode = 86;
// Interval at which a leaving service checks whether it may exit.
constexpr core::Duration kExitCheckPeriod = std::chrono::milliseconds(20);
// Upper bound on the duration of a slow call, so that a wrong value can't hang
// a test.
constexpr int64_t kMaxSlowMs = 120'000;

}  // namespace

absl::StatusOr<std::unique_ptr<ServiceServer>> ServiceServer::Create(
    core::EventLoop* loop,
    const ServiceOptions& options) {
  std::unique_ptr<ServiceServer> server(new ServiceServer(loop, options));
  TRY(server->Start());
  return server;
}

ServiceServer::ServiceServer(core::EventLoop* loop,
                             const ServiceOptions& options)
    : loop_(loop), options_(options), executions_(options.execution_file) {}

absl::Status ServiceServer::Start() {
  http::ServerOptions server_options;
  server_options.address = options_.address;
  TRY_ASSIGN(server_, http::Server::Create(loop_, server_options,
                                           [this](const ExchangePtr& exchange) {
                                             OnRequest(exchange);
                                           }));
  registration_ = std::make_unique<HostRegistration>(loop_, options_.platform,
                                                     options_.host);
  return absl::OkStatus();
}

void ServiceServer::StartGracefulShutdown() {
  if (is_leaving_) {
    return;
  }
  is_leaving_ = true;
  earliest_exit_ = loop_->Now() + options_.leave_linger;
  registration_->MarkLeaving();
  leave_timer_ = loop_->NewTimer([this] { StopWhenDrained(); });
  leave_timer_->StartRepeating(kExitCheckPeriod);
}

const std::vector<ServiceServer::FaultCounter>& ServiceServer::FaultCounters() {
  static const std::vector<FaultCounter> kCounters = {
      // The process exits while it executes the call.
      {"crash", &ServiceServer::crash_count_},
      // The call is executed, then its connection is aborted without an answer.
      {"lose_answer", &ServiceServer::lost_answer_count_},
      // The call is rejected without being executed.
      {"refuse", &ServiceServer::refusal_count_},
      // The call takes "duration_ms" instead of the usual time.
      {"slow", &ServiceServer::slow_call_count_},
  };
  return kCounters;
}

bool ServiceServer::TakeFault(uint32_t* counter) {
  if (*counter == 0) {
    return false;
  }
  --*counter;
  return true;
}

void ServiceServer::OnRequest(const ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  if (request.method == "POST") {
    if (request.path == "/faults") {
      OnFault(exchange);
    } else {
      OnCall(exchange);
    }
    return;
  }
  if (request.path == "/executions") {
    OnExecutions(exchange);
  } else if (request.path == "/v1/load") {
    OnLoad(exchange);
  } else if (request.path == "/v1/healthz") {
    RespondJson(exchange, kHttpOk, {{"healthy", true}});
  } else {
    RespondError(exchange, kHttpNotFound, ResultCode::kNoSuchResource,
                 "no handler for this method and path");
  }
}

void ServiceServer::OnCall(const ExchangePtr& exchange) {
  if (is_leaving_) {
    RespondError(exchange, kHttpUnavailable, ResultCode::kStopping,
                 "the service is leaving");
    return;
  }
  if (TakeFault(&refusal_count_)) {
    RespondError(exchange, kHttpUnavailable, ResultCode::kOverloaded,
                 "the service is overloaded and rejects the call");
    return;
  }
  const http::Request& request = exchange->request();
  Execution execution;
  execution.request_id = request.headers.Get(http::kRequestIdHeader);
  execution.attempt = request.headers.Get(http::kAttemptHeader);
  execution.idempotency_key = request.headers.Get(http::kIdempotencyKeyHeader);
  execution.digest = core::ContentDigest(request.body);
  const size_t position = executions_.Start(std::move(execution));
  if (TakeFault(&crash_count_)) {
    _exit(kCrashExitCode);
  }
  const uint64_t number = next_call_++;
  Call& call = calls_[number];
  call.exchange = exchange;
  call.execution = position;
  call.is_answer_lost = TakeFault(&lost_answer_count_);
  call.timer = loop_->NewTimer([this, number] { FinishCall(number); });
  call.timer->StartOnce(TakeFault(&slow_call_count_) ? slow_call_time_
                                                     : options_.work_time);
  const auto running = static_cast<uint32_t>(calls_.size());
  peak_running_ = std::max(peak_running_, running);
}

void ServiceServer::FinishCall(uint64_t number) {
  const auto it = calls_.find(number);
  const Call call = std::move(it->second);
  calls_.erase(it);
  executions_.End(call.execution, true);
  if (call.is_answer_lost) {
    call.exchange->Abort();
    return;
  }
  const Execution& execution = executions_.at(call.execution);
  RespondJson(call.exchange, kHttpOk,
              {{"key", execution.idempotency_key},
               {"request_id", execution.request_id},
               {"digest", execution.digest}});
}

void ServiceServer::OnLoad(const ExchangePtr& exchange) {
  RespondJson(exchange, kHttpOk,
              {{"running", calls_.size()},
               {"waiting", 0},
               {"outstanding_tokens", 0},
               {"kv_free", 1.0},
               {"leaving", is_leaving_},
               {"age_ms", 0},
               {"model", ""},
               {"version", ""},
               {"adapter", ""},
               {"role", "serving"}});
}

void ServiceServer::OnFault(const ExchangePtr& exchange) {
  const nlohmann::json body = ParseObject(exchange->request().body);
  const std::string kind = body.is_object() ? body.value("kind", "") : "";
  for (const FaultCounter& row : FaultCounters()) {
    if (row.kind != kind) {
      continue;
    }
    this->*row.counter += body.value("count", 1U);
    const int64_t slow_ms = body.value("duration_ms", int64_t{0});
    slow_call_time_ = core::milliseconds(std::min(slow_ms, kMaxSlowMs));
    RespondJson(exchange, kHttpOk,
                {{"planted", true}, {"left", this->*row.counter}});
    return;
  }
  RespondError(exchange, kHttpBadRequest, ResultCode::kMalformedRequest,
               fmt::format("unknown fault kind \"{}\"", kind));
}

void ServiceServer::OnExecutions(const ExchangePtr& exchange) {
  nlohmann::json executions = nlohmann::json::array();
  for (const Execution& execution : executions_.executions()) {
    executions.push_back(ToJson(execution));
  }
  RespondJson(exchange, kHttpOk,
              {{"id", options_.host.id},
               {"executions", std::move(executions)},
               {"peak_running", peak_running_},
               {"load_samples", nlohmann::json::array()}});
}

void ServiceServer::StopWhenDrained() {
  if (calls_.empty() && server_->open_exchanges() == 0 &&
      loop_->Now() >= earliest_exit_) {
    loop_->Stop();
  }
}

}  // namespace wasabi::support
