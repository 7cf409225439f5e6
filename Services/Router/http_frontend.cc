#include "Services/Router/http_frontend.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Services/Router/error_response.h"
#include "Services/Router/reattach_session.h"

namespace wasabi::router {

namespace {

using core::EventCode;
using core::MakeStatus;
using core::ResultCode;
using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr std::string_view kRequestsPrefix = "/v1/requests/";

void RespondJson(const std::shared_ptr<http::Exchange>& exchange,
                 std::string body) {
  exchange->Respond(kHttpOk, {{"Content-Type", "application/json"}},
                    std::move(body));
}

std::string QueryOf(const http::Request& request, const std::string& key) {
  const auto it = request.query.find(key);
  return it == request.query.end() ? "" : it->second;
}

}  // namespace

// Maps a method and a path, or a path prefix, to its handler.
struct HttpFrontend::Route {
  std::string_view method;
  std::string_view path;
  bool is_prefix;
  Handler handler;
};

HttpFrontend::HttpFrontend(FrontendContext context)
    : context_(std::move(context)),
      events_(context_.session->events),
      metrics_(context_.session->metrics) {}

void HttpFrontend::Handle(const std::shared_ptr<http::Exchange>& exchange) {
  static constexpr std::array<Route, 8> kRoutes = {{
      {"POST", "/v1/chat/completions", false, &HttpFrontend::ServeChat},
      {"GET", "/v1/hosts", false, &HttpFrontend::ServeHosts},
      {"GET", kRequestsPrefix, true, &HttpFrontend::ServeReattach},
      {"POST", "/v1/services/", true, &HttpFrontend::ServeService},
      {"GET", "/v1/healthz", false, &HttpFrontend::ServeHealth},
      {"GET", "/metrics", false, &HttpFrontend::ServeMetrics},
      {"GET", "/v1/events", false, &HttpFrontend::ServeEvents},
      {"GET", "/v1/status", false, &HttpFrontend::ServeStatus},
  }};
  const http::Request& request = exchange->request();
  for (const Route& route : kRoutes) {
    const bool is_match = route.is_prefix
                              ? request.path.starts_with(route.path) &&
                                    request.path.size() > route.path.size()
                              : request.path == route.path;
    if (is_match && request.method == route.method) {
      (this->*route.handler)(exchange);
      return;
    }
  }
  ++metrics_->Counter("bad_requests_total");
  RespondError(
      exchange,
      MakeStatus(ResultCode::kNoSuchResource,
                 "the path does not exist or does not support this method"),
      "");
}

void HttpFrontend::ServeHealth(const ExchangePointer& exchange) {
  if (!context_.is_ready()) {
    RespondError(
        exchange,
        core::MakeRefusal(
            ResultCode::kStopping,
            "the host is not ready, because it is starting or stopping",
            std::chrono::seconds(1)),
        "");
    return;
  }
  RespondJson(exchange, R"({"ready":true})");
}

void HttpFrontend::ServeMetrics(const ExchangePointer& exchange) {
  exchange->Respond(kHttpOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                    metrics_->ToText());
}

void HttpFrontend::ServeEvents(const ExchangePointer& exchange) {
  const auto from =
      core::ParseNumber<uint64_t>(QueryOf(exchange->request(), "from"));
  RespondJson(exchange, core::EventsToJson(events_->process_name(),
                                           events_->Since(from.value_or(0))));
}

void HttpFrontend::ServeStatus(const ExchangePointer& exchange) {
  RespondJson(exchange, context_.status());
}

std::string HttpFrontend::PreferredRunner(const http::Request& request) const {
  RequestContext context = NewContext(request);
  context.organisation =
      core::OrganisationId(request.headers.Get(http::kOrganisationHeader));
  context.deployment =
      context.configuration->DeploymentOf(context.organisation);
  const std::string chat = QueryOf(request, "chat");
  if (context.deployment == nullptr || chat.empty()) {
    return "";
  }
  const auto model = context.deployment->models.find(QueryOf(request, "model"));
  if (model == context.deployment->models.end()) {
    return "";
  }
  context.model_pool = &model->second;
  context.chat = core::ChatKey(context.organisation.value() + "/" + chat);
  const std::vector<core::RunnerId> order =
      context_.session->preference_order(context);
  return order.empty() ? "" : RunnerOwnershipName(order.front());
}

void HttpFrontend::ServeHosts(const ExchangePointer& exchange) {
  const http::Request& request = exchange->request();
  std::string ownership_name = PreferredRunner(request);
  if (ownership_name.empty()) {
    // Without a chat, hashing the caller's address distributes callers over the
    // routers.
    ownership_name = "caller/" + request.peer;
  }
  const membership::MemberTableSnapshot members = context_.session->members();
  json hosts = json::array();
  for (const membership::Member* member :
       members->RankedOwners(ownership_name, membership::MemberRole::kRouter)) {
    constexpr size_t kMaxHosts = 8;
    if (hosts.size() < kMaxHosts) {
      hosts.push_back(member->http_address.ToString());
    }
  }
  const json answer = {
      {"hosts", hosts},
      {"lifetime_ms",
       core::ToMilliseconds(context_.session->settings->host_answer_lifetime)}};
  RespondJson(exchange, answer.dump());
}

RequestContext HttpFrontend::NewContext(const http::Request& request) const {
  RequestContext context;
  context.http = &request;
  context.now = context_.session->loop->Now();
  context.configuration = context_.configuration();
  return context;
}

void HttpFrontend::Refuse(const ExchangePointer& exchange,
                          const RequestContext& context,
                          const absl::Status& status) {
  const bool is_bad_input = core::CodeOf(status) < ResultCode::kOverloaded;
  ++metrics_->Counter(is_bad_input ? "bad_requests_total"
                                   : "refused_requests_total");
  events_->Record(
      is_bad_input ? EventCode::kBadInput : EventCode::kRequestRefused,
      context.request.value(),
      fmt::format("code={}", static_cast<int>(core::CodeOf(status))));
  RespondError(exchange, status, context.request.value());
}

void HttpFrontend::ServeChat(const ExchangePointer& exchange) {
  ++metrics_->Counter("chat_requests_total");
  RequestContext context = NewContext(exchange->request());
  const absl::Status status = context_.chat_filters->Apply(&context);
  if (!status.ok()) {
    Refuse(exchange, context, status);
    return;
  }
  events_->Record(
      EventCode::kRequestReceived, context.request.value(),
      fmt::format("organisation={} chat={}", context.organisation.value(),
                  context.chat.value()));
  if (AttachToRunning(exchange, context)) {
    return;
  }
  const auto stream =
      NewStream(exchange, context.is_streamed, context.request.value());
  ChatSession::Start(context_.session, std::move(context), stream);
}

bool HttpFrontend::AttachToRunning(const ExchangePointer& exchange,
                                   const RequestContext& context) {
  const std::shared_ptr<AnswerRecord> record = context_.session->answers->Find(
      AnswerKey(context.organisation, context.request));
  if (record == nullptr || record->has_failed() || record->first_index() > 0 ||
      record->content_digest() != context.content_digest) {
    return false;
  }
  const auto stream =
      NewStream(exchange, context.is_streamed, context.request.value());
  events_->Record(EventCode::kCallerReattached, context.request.value(),
                  "from=0");
  (void)record->Listen(0, stream);
  return true;
}

void HttpFrontend::ServeReattach(const ExchangePointer& exchange) {
  const http::Request& request = exchange->request();
  const auto offset = core::ParseNumber<uint32_t>(QueryOf(request, "offset"));
  ReattachRequest reattach;
  reattach.organisation =
      core::OrganisationId(request.headers.Get(http::kOrganisationHeader));
  reattach.request =
      core::RequestId(request.path.substr(kRequestsPrefix.size()));
  reattach.offset = offset.value_or(0);
  events_->Record(EventCode::kCallerReattached, reattach.request.value(),
                  fmt::format("from={}", reattach.offset));
  const auto stream =
      NewStream(exchange, /*is_streamed=*/true, reattach.request.value());
  const std::shared_ptr<AnswerRecord> record = context_.session->answers->Find(
      AnswerKey(reattach.organisation, reattach.request));
  if (record != nullptr && !record->has_failed() &&
      record->Listen(reattach.offset, stream).ok()) {
    return;
  }
  ReattachSession::Start(context_.link, context_.session->members(),
                         context_.session->settings->host, reattach, stream);
}

void HttpFrontend::ServeService(const ExchangePointer& exchange) {
  ++metrics_->Counter("service_requests_total");
  RequestContext context = NewContext(exchange->request());
  const absl::Status status = context_.service_filters->Apply(&context);
  if (!status.ok()) {
    Refuse(exchange, context, status);
    return;
  }
  events_->Record(EventCode::kRequestReceived, context.request.value(),
                  fmt::format("organisation={} service={}",
                              context.organisation.value(), context.service));
  context_.run_service_call(exchange, context);
}

std::shared_ptr<CallerStream> HttpFrontend::NewStream(
    const ExchangePointer& exchange,
    bool is_streamed,
    const std::string& request_id) {
  http::Headers headers;
  const std::string trace_parent =
      exchange->request().headers.Get(http::kTraceParentHeader);
  if (!trace_parent.empty()) {
    headers.Add(std::string(http::kTraceParentHeader), trace_parent);
  }
  if (context_.is_stopping()) {
    headers.Add("Connection", "close");
  }
  auto stream = std::make_shared<CallerStream>(exchange, is_streamed,
                                               request_id, headers);
  streams_[exchange.get()] = stream;
  exchange->OnClosed([this, key = exchange.get()] { streams_.erase(key); });
  return stream;
}

}  // namespace wasabi::router
