#include "Services/Router/service_session.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Services/Router/error_response.h"

namespace wasabi::router {

void RespondServiceAnswer(const std::shared_ptr<http::Exchange>& exchange,
                          const std::string& request_id,
                          int http_status,
                          std::string body) {
  exchange->Respond(http_status,
                    {{"Content-Type", "application/json"},
                     {std::string(http::kRequestIdHeader), request_id}},
                    std::move(body));
}

void ServiceSession::Start(ServiceCaller* caller,
                           core::EventRing* events,
                           const std::shared_ptr<http::Exchange>& exchange,
                           const RequestContext& request,
                           uint32_t max_retries,
                           std::function<bool()> take_retry) {
  std::shared_ptr<ServiceSession> session(new ServiceSession(
      caller, events, exchange, request, max_retries, std::move(take_retry)));
  session->Attempt();
}

ServiceSession::ServiceSession(ServiceCaller* caller,
                               core::EventRing* events,
                               std::shared_ptr<http::Exchange> exchange,
                               const RequestContext& request,
                               uint32_t max_retries,
                               std::function<bool()> take_retry)
    : caller_(caller),
      events_(events),
      exchange_(std::move(exchange)),
      max_retries_(max_retries),
      take_retry_(std::move(take_retry)) {
  call_.pool = request.plain_service->pool;
  call_.path = request.service_path;
  call_.request_id = request.request.value();
  call_.idempotency_key = request.idempotency_key;
  call_.trace_parent = request.trace_parent;
  call_.body = request.http->body;
  call_.deadline = request.deadline;
}

void ServiceSession::Attempt() {
  caller_->Call(call_, [self = shared_from_this()](
                           absl::StatusOr<http::ClientResponse> response) {
    self->OnAnswer(std::move(response));
  });
}

void ServiceSession::OnAnswer(absl::StatusOr<http::ClientResponse> response) {
  const bool can_retry =
      core::CodeOf(response.status()) != core::ResultCode::kNoEndpoint &&
      core::CodeOf(response.status()) != core::ResultCode::kDeadlineTooShort;
  if (!response.ok() && can_retry && call_.attempt <= max_retries_ &&
      take_retry_()) {
    ++call_.attempt;
    Attempt();
    return;
  }
  if (!response.ok()) {
    events_->Record(
        core::EventCode::kRequestFailed, call_.request_id,
        fmt::format("code={}",
                    static_cast<int>(core::CodeOf(response.status()))));
    RespondError(exchange_, response.status(), call_.request_id);
    return;
  }
  events_->Record(core::EventCode::kRequestAnswered, call_.request_id,
                  fmt::format("attempts={}", call_.attempt));
  RespondServiceAnswer(exchange_, call_.request_id, response->status,
                       std::move(response->body));
}

}  // namespace wasabi::router
