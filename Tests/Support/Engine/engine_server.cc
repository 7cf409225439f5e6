#include "Tests/Support/Engine/engine_server.h"

#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/Engine/answer_events.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {

namespace {

using core::ResultCode;

// Exit code of the process when an injected fault crashes it.
constexpr int kCrashExitCode = 86;
// Interval between two load samples.
constexpr core::Duration kSamplePeriod = std::chrono::milliseconds(20);
// Bounds on the memory for load samples, cache events and peer addresses.
constexpr size_t kMaxSamples = 100'000;
constexpr size_t kMaxDelayedCacheEvents = 10'000;
constexpr size_t kMaxSeenPeers = 50'000;
// Index of the token at which a request with a crash fault exits the process.
constexpr uint32_t kCrashTokenIndex = 1;
// Delay that lets the answer to POST /faults be sent before the fault begins.
constexpr core::Duration kFaultDelay = std::chrono::milliseconds(20);
// Interval at which a leaving engine checks whether it may exit.
constexpr core::Duration kExitCheckPeriod = std::chrono::milliseconds(20);
// Request id and digest that a crossed answer carries instead of its own.
constexpr std::string_view kCrossedRequestId = "crossed-request";
constexpr std::string_view kCrossedDigest = "crossed-digest";

int PriorityOf(const http::Headers& headers) {
  const std::string text = headers.Get(http::kPriorityHeader);
  if (text == "urgent") {
    return 0;
  }
  return text == "batch" ? 2 : 1;
}

std::string ChatOf(const http::Request& request, const nlohmann::json& body) {
  const std::string header = request.headers.Get(http::kChatKeyHeader);
  return header.empty() ? body.value("prompt_cache_key", "") : header;
}

nlohmann::json ToJson(const CacheEvent& event) {
  return {{"sequence", event.sequence},
          {"kind", event.is_stored ? "stored" : "evicted"},
          {"chat", event.chat},
          {"tokens", event.tokens}};
}

}  // namespace

absl::StatusOr<std::unique_ptr<EngineServer>> EngineServer::Create(
    core::EventLoop* loop,
    const EngineOptions& options) {
  std::unique_ptr<EngineServer> server(new EngineServer(loop, options));
  TRY(server->Start());
  return server;
}

EngineServer::EngineServer(core::EventLoop* loop, const EngineOptions& options)
    : loop_(loop),
      options_(options),
      core_(options.limits),
      executions_(options.execution_file),
      random_(options.seed) {
  applied_state_ = {{"model", options.model},
                    {"version", options.version},
                    {"adapter", ""},
                    {"role", "serving"}};
  desired_state_ = applied_state_;
}

absl::Status EngineServer::Start() {
  http::ServerOptions server_options;
  server_options.address = options_.address;
  TRY_ASSIGN(server_, http::Server::Create(loop_, server_options,
                                           [this](const ExchangePtr& exchange) {
                                             OnRequest(exchange);
                                           }));
  step_timer_ = loop_->NewTimer([this] { RunStep(); });
  sample_timer_ = loop_->NewTimer([this] { Sample(); });
  sample_timer_->StartRepeating(kSamplePeriod);
  report_.created_at = loop_->Now();
  report_timer_ = loop_->NewTimer([this] {
    report_ = {core_.Load(), loop_->Now()};
  });
  report_timer_->StartRepeating(options_.report_lag);
  registration_ = std::make_unique<HostRegistration>(loop_, options_.platform,
                                                     options_.host);
  return absl::OkStatus();
}

void EngineServer::StartGracefulShutdown() {
  if (is_leaving_) {
    return;
  }
  is_leaving_ = true;
  earliest_exit_ = loop_->Now() + options_.leave_linger;
  registration_->MarkLeaving();
  leave_timer_ = loop_->NewTimer([this] { StopWhenDrained(); });
  leave_timer_->StartRepeating(kExitCheckPeriod);
}

const std::vector<EngineServer::Route>& EngineServer::Routes() {
  static const std::vector<Route> kRoutes = {
      {"POST", "/v1/chat/completions", &EngineServer::OnChat},
      {"DELETE", "/v1/requests/*", &EngineServer::OnCancel},
      {"GET", "/v1/load", &EngineServer::OnLoad},
      {"GET", "/v1/cache-events", &EngineServer::OnCacheEvents},
      {"POST", "/v1/orders", &EngineServer::OnOrder},
      {"GET", "/v1/orders", &EngineServer::OnReadOrder},
      {"POST", "/v1/kv/export", &EngineServer::OnExport},
      {"POST", "/v1/kv/import", &EngineServer::OnImport},
      {"POST", "/faults", &EngineServer::OnFault},
      {"GET", "/executions", &EngineServer::OnExecutions},
      {"GET", "/v1/healthz", &EngineServer::OnHealth},
  };
  return kRoutes;
}

void EngineServer::OnRequest(const ExchangePtr& exchange) {
  if (HoldIfSilenced(exchange)) {
    return;
  }
  const http::Request& request = exchange->request();
  for (const Route& route : Routes()) {
    const bool is_prefix = route.path.ends_with('*');
    const std::string_view path =
        route.path.substr(0, route.path.size() - (is_prefix ? 1 : 0));
    const bool is_match =
        is_prefix ? request.path.starts_with(path) : request.path == path;
    if (is_match && request.method == route.method) {
      (this->*route.handler)(exchange);
      return;
    }
  }
  RespondError(exchange, kHttpNotFound, ResultCode::kNoSuchResource,
               "no handler for this method and path");
}

bool EngineServer::HoldIfSilenced(const ExchangePtr& exchange) {
  const std::string& peer = exchange->request().peer;
  if (silent_peers_.contains(peer)) {
    silent_exchanges_.push_back(exchange);
    return true;
  }
  if (seen_peers_.size() < kMaxSeenPeers) {
    seen_peers_.insert(peer);
  }
  return false;
}

void EngineServer::OnChat(const ExchangePtr& exchange) {
  const nlohmann::json body = ParseObject(exchange->request().body);
  if (RefuseChat(exchange, body) || DelayChat(exchange, body)) {
    return;
  }
  StartChat(exchange, body);
}

bool EngineServer::RefuseChat(const ExchangePtr& exchange,
                              const nlohmann::json& body) {
  Fault fault;
  if (!body.is_object() || MessagesOf(body).empty()) {
    RespondError(
        exchange, kHttpBadRequest, ResultCode::kMalformedRequest,
        "the body is not a chat request: \"messages\" is missing or empty");
    return true;
  }
  if (is_leaving_) {
    RespondError(exchange, kHttpUnavailable, ResultCode::kStopping,
                 "the engine is leaving");
    return true;
  }
  if (faults_.Take(FaultKind::kRefuse, &fault) || is_applying_order_ ||
      core_.Load().waiting >= options_.max_waiting) {
    RespondError(exchange, kHttpUnavailable, ResultCode::kOverloaded,
                 "the engine is overloaded and rejects the request");
    return true;
  }
  if (body.value("model", "") != applied_state_.value("model", "")) {
    RespondError(exchange, kHttpNotFound, ResultCode::kUnknownModel,
                 "the engine serves a different model");
    return true;
  }
  return false;
}

bool EngineServer::DelayChat(const ExchangePtr& exchange,
                             const nlohmann::json& body) {
  Fault fault;
  if (!faults_.Take(FaultKind::kLate, &fault)) {
    return false;
  }
  late_timers_.push_back(
      loop_->NewTimer([this, exchange, body] { StartChat(exchange, body); }));
  late_timers_.back()->StartOnce(fault.duration);
  return true;
}

void EngineServer::StartChat(const ExchangePtr& exchange,
                             const nlohmann::json& body) {
  const http::Request& request = exchange->request();
  Stream stream;
  stream.exchange = exchange;
  stream.request_id = request.headers.Get(http::kRequestIdHeader);
  stream.digest = RequestDigest(body);
  stream.answer_tokens =
      AnswerLength(stream.digest, body.value("max_tokens", 0U));
  SequenceRequest sequence;
  sequence.chat = ChatOf(request, body);
  sequence.priority = PriorityOf(request.headers);
  sequence.messages = MessagesOf(body);
  sequence.answer = AnswerText(stream.digest, stream.answer_tokens);
  sequence.answer_tokens = stream.answer_tokens;
  sequence.resume_from =
      std::min(body.value("resume_from", 0U), stream.answer_tokens);
  stream.prompt_tokens = TokensOf(sequence.messages);
  stream.crashes_process = faults_.CrashesProcess(stream.digest, request.body);
  InjectStreamFaults(&stream);

  Execution execution;
  execution.request_id = stream.request_id;
  execution.attempt = request.headers.Get(http::kAttemptHeader);
  execution.idempotency_key = request.headers.Get(http::kIdempotencyKeyHeader);
  execution.digest = stream.digest;
  execution.prompt_tokens = stream.prompt_tokens;
  stream.execution = executions_.Start(std::move(execution));
  exchange->StartStream(
      kHttpOk, {{"Content-Type", "text/event-stream"},
                {std::string(http::kRequestIdHeader), stream.request_id},
                {std::string(http::kAttemptHeader),
                 request.headers.Get(http::kAttemptHeader)}});
  streams_[core_.Submit(std::move(sequence))] = std::move(stream);
  StartSteps();
}

void EngineServer::InjectStreamFaults(Stream* stream) {
  Fault fault;
  if (faults_.Take(FaultKind::kCross, &fault)) {
    stream->request_id = kCrossedRequestId;
    stream->digest = kCrossedDigest;
  }
  if (faults_.Take(FaultKind::kCut, &fault)) {
    stream->cut_after = std::max(fault.tokens, 1U);
  }
  stream->duplicates_tokens = faults_.Take(FaultKind::kDuplicateChunks, &fault);
}

void EngineServer::StartSteps() {
  if (is_stepping_) {
    return;
  }
  is_stepping_ = true;
  next_step_ = loop_->Now() + core_.StepDuration();
  step_timer_->StartOnce(core_.StepDuration());
}

void EngineServer::RunStep() {
  const std::vector<StepOutput> outputs = core_.Step();
  for (const StepOutput& output : outputs) {
    const auto it = streams_.find(output.sequence);
    if (it != streams_.end()) {
      Deliver(output, &it->second);
    }
  }
  QueueCacheEvents();
  if (core_.is_idle()) {
    is_stepping_ = false;
    return;
  }
  // Steps have fixed due times, so that late timers don't slow the engine down.
  // After a freeze the due times restart from now.
  const core::TimePoint now = loop_->Now();
  next_step_ = std::max(next_step_ + core_.StepDuration(), now);
  step_timer_->StartOnce(next_step_ - now);
}

void EngineServer::Deliver(const StepOutput& output, Stream* stream) {
  if (!stream->exchange->is_open()) {
    EndStream(output.sequence, false);
    return;
  }
  if (stream->crashes_process && output.token_index >= kCrashTokenIndex) {
    _exit(kCrashExitCode);
  }
  stream->cached_tokens = output.cached_tokens;
  // An answer that was resumed at its end consists of the final chunk only.
  if (output.token_index < stream->answer_tokens) {
    WriteToken(stream, output.token_index);
  }
  if (stream->cut_after > 0 && --stream->cut_after == 0) {
    stream->exchange->Abort();
    EndStream(output.sequence, false);
    return;
  }
  if (!output.is_last) {
    return;
  }
  WriteText(stream, FinalEvents(stream->request_id, stream->answer_tokens,
                                {stream->prompt_tokens, stream->answer_tokens,
                                 stream->cached_tokens}));
  if (!silent_peers_.contains(stream->exchange->request().peer)) {
    stream->exchange->Finish();
  }
  EndStream(output.sequence, true);
}

void EngineServer::WriteToken(Stream* stream, uint32_t index) {
  const std::string text = AnswerToken(stream->digest, index);
  const std::string event = ChunkEvent(stream->request_id, index, text);
  WriteText(stream, event);
  if (stream->duplicates_tokens) {
    WriteText(stream, event);
  }
}

void EngineServer::WriteText(Stream* stream, const std::string& text) {
  if (!silent_peers_.contains(stream->exchange->request().peer)) {
    stream->exchange->Write(text);
  }
}

void EngineServer::EndStream(SequenceId sequence, bool completed) {
  const auto it = streams_.find(sequence);
  executions_.at(it->second.execution).cached_tokens = it->second.cached_tokens;
  executions_.End(it->second.execution, completed);
  core_.Cancel(sequence);
  streams_.erase(it);
}

void EngineServer::OnCancel(const ExchangePtr& exchange) {
  constexpr std::string_view kPrefix = "/v1/requests/";
  const std::string id = exchange->request().path.substr(kPrefix.size());
  bool is_found = false;
  std::vector<SequenceId> cancelled;
  for (const auto& [sequence, stream] : streams_) {
    if (executions_.at(stream.execution).request_id == id) {
      cancelled.push_back(sequence);
    }
  }
  for (const SequenceId sequence : cancelled) {
    is_found = true;
    streams_.at(sequence).exchange->Abort();
    EndStream(sequence, false);
  }
  if (!is_found) {
    RespondError(exchange, kHttpNotFound, ResultCode::kUnknownRequest,
                 "no running request has this id");
    return;
  }
  RespondJson(exchange, kHttpOk, {{"cancelled", cancelled.size()}});
}

void EngineServer::OnLoad(const ExchangePtr& exchange) {
  const core::TimePoint now = loop_->Now();
  if (now < load_reports_disabled_until_) {
    RespondError(exchange, kHttpUnavailable, ResultCode::kOverloaded,
                 "load reports are disabled by an injected fault");
    return;
  }
  nlohmann::json body = applied_state_;
  body["running"] = report_.load.running;
  body["waiting"] = report_.load.waiting;
  body["outstanding_tokens"] = report_.load.outstanding_tokens;
  body["kv_free"] = report_.load.kv_free;
  body["leaving"] = is_leaving_ || now < reports_leaving_until_;
  body["age_ms"] = core::ToMilliseconds(now - report_.created_at);
  RespondJson(exchange, kHttpOk, body);
}

void EngineServer::OnCacheEvents(const ExchangePtr& exchange) {
  const auto& query = exchange->request().query;
  const auto from = query.find("from");
  const uint64_t first =
      from == query.end()
          ? 0
          : core::ParseNumber<uint64_t>(from->second).value_or(0);
  uint64_t next = first;
  nlohmann::json events = nlohmann::json::array();
  for (const DelayedCacheEvent& notice : delayed_cache_events_) {
    if (notice.event.sequence >= first && notice.visible_at <= loop_->Now()) {
      events.push_back(ToJson(notice.event));
      next = notice.event.sequence + 1;
    }
  }
  RespondJson(exchange, kHttpOk, {{"next", next}, {"events", events}});
}

void EngineServer::OnOrder(const ExchangePtr& exchange) {
  const nlohmann::json order = ParseObject(exchange->request().body);
  const auto fencing = core::ParseNumber<int64_t>(
      exchange->request().headers.Get(http::kFencingHeader));
  if (!order.is_object() || (options_.check_fencing && !fencing)) {
    RespondError(exchange, kHttpBadRequest, ResultCode::kMalformedRequest,
                 "an order requires a JSON object and a fencing number");
    return;
  }
  if (options_.check_fencing && *fencing < highest_fencing_) {
    RespondError(
        exchange, kHttpConflict, ResultCode::kOrderRefused,
        fmt::format("fencing number {} is stale, the highest one is {}",
                    *fencing, highest_fencing_));
    return;
  }
  highest_fencing_ = std::max(highest_fencing_, fencing.value_or(-1));
  for (const char* key : {"model", "adapter", "version", "role"}) {
    if (order.contains(key) && order[key].is_string()) {
      desired_state_[key] = order[key];
    }
  }
  if (desired_state_ != applied_state_ && !is_applying_order_) {
    is_applying_order_ = true;
    order_timer_ = loop_->NewTimer([this] {
      is_applying_order_ = false;
      applied_state_ = desired_state_;
    });
    order_timer_->StartOnce(options_.order_time);
  }
  RespondJson(exchange, kHttpOk, OrderState());
}

void EngineServer::OnReadOrder(const ExchangePtr& exchange) {
  RespondJson(exchange, kHttpOk, OrderState());
}

nlohmann::json EngineServer::OrderState() const {
  nlohmann::json state = desired_state_;
  state["applied"] = !is_applying_order_;
  state["fencing_number"] = highest_fencing_;
  return state;
}

void EngineServer::OnExport(const ExchangePtr& exchange) {
  const nlohmann::json body = ParseObject(exchange->request().body);
  nlohmann::json contexts = nlohmann::json::object();
  for (const nlohmann::json& chat :
       body.value("chats", nlohmann::json::array())) {
    if (!chat.is_string()) {
      continue;
    }
    nlohmann::json blocks = nlohmann::json::array();
    for (const PrefixBlock& block : core_.kv_cache().ContextOf(chat)) {
      blocks.push_back({block.prefix_hash, block.tokens});
    }
    if (!blocks.empty()) {
      contexts[chat.get<std::string>()] = blocks;
    }
  }
  exchange->Respond(kHttpOk, {{"Content-Type", "application/octet-stream"}},
                    contexts.dump());
}

void EngineServer::OnImport(const ExchangePtr& exchange) {
  const nlohmann::json contexts = ParseObject(exchange->request().body);
  if (!contexts.is_object()) {
    RespondError(exchange, kHttpBadRequest, ResultCode::kMalformedRequest,
                 "the body is not an exported context");
    return;
  }
  for (const auto& [chat, blocks] : contexts.items()) {
    std::vector<PrefixBlock> prefix;
    for (const nlohmann::json& block : blocks) {
      prefix.push_back(
          {block.at(0).get<uint64_t>(), block.at(1).get<uint32_t>()});
    }
    core_.kv_cache().Store(chat, std::move(prefix));
  }
  RespondJson(exchange, kHttpOk, {{"imported", contexts.size()}});
}

void EngineServer::OnFault(const ExchangePtr& exchange) {
  const absl::StatusOr<Fault> fault =
      FaultFromJson(ParseObject(exchange->request().body));
  if (!fault.ok()) {
    RespondError(exchange, kHttpBadRequest, ResultCode::kMalformedRequest,
                 core::MessageOf(fault.status()));
    return;
  }
  RespondJson(exchange, kHttpOk, {{"planted", true}});
  ApplyFault(*fault);
}

void EngineServer::ApplyFault(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kCrash:
      fault_timer_ = loop_->NewTimer([] { _exit(kCrashExitCode); });
      fault_timer_->StartOnce(kFaultDelay);
      return;
    case FaultKind::kFreeze:
      fault_timer_ = loop_->NewTimer(
          [fault] { std::this_thread::sleep_for(fault.duration); });
      fault_timer_->StartOnce(kFaultDelay);
      return;
    case FaultKind::kSilenceOpen:
      silent_peers_.insert(seen_peers_.begin(), seen_peers_.end());
      return;
    case FaultKind::kNoLoadReports:
      load_reports_disabled_until_ = loop_->Now() + fault.duration;
      return;
    case FaultKind::kLeave:
      reports_leaving_until_ = loop_->Now() + fault.duration;
      return;
    default:
      faults_.Add(fault);
      return;
  }
}

void EngineServer::OnExecutions(const ExchangePtr& exchange) {
  nlohmann::json executions = nlohmann::json::array();
  for (const Execution& execution : executions_.executions()) {
    executions.push_back(ToJson(execution));
  }
  nlohmann::json samples = nlohmann::json::array();
  for (const LoadSample& sample : samples_) {
    samples.push_back({{"at_ns", sample.at_ns},
                       {"running", sample.load.running},
                       {"waiting", sample.load.waiting},
                       {"outstanding_tokens", sample.load.outstanding_tokens}});
  }
  RespondJson(exchange, kHttpOk,
              {{"id", options_.host.id},
               {"executions", std::move(executions)},
               {"peak_running", peak_running_},
               {"load_samples", std::move(samples)}});
}

void EngineServer::OnHealth(const ExchangePtr& exchange) {
  RespondJson(exchange, kHttpOk, {{"healthy", true}});
}

void EngineServer::Sample() {
  const EngineLoad load = core_.Load();
  peak_running_ = std::max(peak_running_, load.running);
  samples_.push_back({MonotonicNanoseconds(), load});
  if (samples_.size() > kMaxSamples) {
    samples_.pop_front();
  }
}

void EngineServer::QueueCacheEvents() {
  for (CacheEvent& event : core_.kv_cache().TakeEvents()) {
    if (random_.Unit() < options_.cache_event_loss) {
      continue;
    }
    delayed_cache_events_.push_back(
        {loop_->Now() + options_.cache_event_lag, std::move(event)});
  }
  while (delayed_cache_events_.size() > kMaxDelayedCacheEvents) {
    delayed_cache_events_.pop_front();
  }
}

void EngineServer::StopWhenDrained() {
  // Open exchanges include answers whose last bytes are not yet sent.
  if (core_.is_idle() && loop_->Now() >= earliest_exit_ &&
      server_->open_exchanges() == silent_exchanges_.size()) {
    loop_->Stop();
  }
}

}  // namespace wasabi::support
