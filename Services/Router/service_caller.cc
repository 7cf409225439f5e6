#include "Services/Router/service_caller.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Services/Router/answer_owner.h"

namespace wasabi::router {

namespace {

using core::MakeRefusal;
using core::ResultCode;

constexpr int kHttpServiceUnavailable = 503;
constexpr core::Duration kNoEndpointRetryAfter = std::chrono::seconds(1);
// An endpoint that is unreachable or refuses a call is skipped for this long.
constexpr core::Duration kUnreachableCooldown = std::chrono::seconds(2);

bool IsRefusal(const http::ClientResponse& response) {
  return response.status == kHttpServiceUnavailable &&
         !response.headers.Get(http::kResultCodeHeader).empty();
}

}  // namespace

ServiceCaller::ServiceCaller(core::EventLoop* loop,
                             http::Client* client,
                             core::EventRing* events,
                             EndpointDirectory* directory)
    : loop_(loop), client_(client), events_(events), directory_(directory) {}

void ServiceCaller::Call(const ServiceCall& call, Callback callback) {
  const platform::ListedHost* endpoint = PickEndpoint(call.pool);
  const core::Duration remaining = call.deadline - loop_->Now();
  if (endpoint == nullptr || remaining <= core::Duration::zero()) {
    const bool is_late = endpoint != nullptr;
    loop_->Post([callback = std::move(callback), is_late] {
      callback(MakeRefusal(
          is_late ? ResultCode::kDeadlineTooShort : ResultCode::kNoEndpoint,
          is_late ? "the deadline expired before the call was sent"
                  : "the service has no live endpoint",
          kNoEndpointRetryAfter));
    });
    return;
  }
  http::ClientRequest request;
  request.method = "POST";
  request.address = endpoint->address;
  request.target = call.path;
  request.total_timeout = remaining;
  // A kept-alive connection may have gone silent, and a call that may not be
  // repeated could not be retried elsewhere.
  request.needs_fresh_connection = true;
  request.headers = {
      {"Content-Type", "application/json"},
      {std::string(http::kRequestIdHeader), call.request_id},
      {std::string(http::kAttemptHeader), std::to_string(call.attempt)},
      {std::string(http::kIdempotencyKeyHeader), call.idempotency_key}};
  if (!call.trace_parent.empty()) {
    request.headers.Add(std::string(http::kTraceParentHeader),
                        call.trace_parent);
  }
  request.body = call.body;
  const std::string id = endpoint->id;
  ++in_flight_[id];
  events_->Record(core::EventCode::kCallDispatched, call.request_id,
                  fmt::format("endpoint={}", id));
  client_->Fetch(request, [this, id, request_id = call.request_id,
                           attempt = std::to_string(call.attempt),
                           callback = std::move(callback)](
                              absl::StatusOr<http::ClientResponse> response) {
    --in_flight_[id];
    if (core::CodeOf(response.status()) == ResultCode::kPeerUnreachable) {
      directory_->SetCondition(id, EndpointCondition::kDown,
                               loop_->Now() + kUnreachableCooldown);
    }
    if (response.ok() &&
        NamesOtherCall(response->headers, request_id, attempt)) {
      callback(core::MakeStatus(
          ResultCode::kMismatchedAnswer,
          "the endpoint answered for another request or attempt"));
      return;
    }
    if (response.ok() && IsRefusal(*response)) {
      directory_->SetCondition(id, EndpointCondition::kLeaving,
                               loop_->Now() + kUnreachableCooldown);
      callback(MakeRefusal(ResultCode::kPeerUnreachable,
                           "the endpoint refused the call",
                           kNoEndpointRetryAfter));
      return;
    }
    if (response.ok() && !response->IsDelimited()) {
      callback(core::MakeStatus(
          ResultCode::kAnswerTruncated,
          "the answer has neither a length nor chunks, so it may be cut"));
      return;
    }
    callback(std::move(response));
  });
}

const platform::ListedHost* ServiceCaller::PickEndpoint(
    const core::PoolId& pool) const {
  const platform::ListedHost* best = nullptr;
  int best_load = 0;
  for (const platform::ListedHost* host :
       directory_->OfKind(platform::HostKind::kService)) {
    if (host->pool != pool ||
        !directory_->AcceptsWork(host->id, loop_->Now())) {
      continue;
    }
    const auto it = in_flight_.find(host->id);
    const int load = it == in_flight_.end() ? 0 : it->second;
    if (best == nullptr || load < best_load) {
      best = host;
      best_load = load;
    }
  }
  return best;
}

}  // namespace wasabi::router
