#include "Utilities/Load/service_call.h"

#include <utility>

#include "LibCore/text.h"
#include "Tests/Support/http_replies.h"
#include "Utilities/Load/http_error.h"

namespace wasabi::load {

namespace {

// Number of unanswered sends that fit into the caller's total timeout.
constexpr int kSendsWithinTimeout = 4;
// Delay before a call whose answer was lost is retried.
constexpr core::Duration kResendWait = std::chrono::milliseconds(200);

}  // namespace

void ServiceCall::Start(const CallContext* context,
                        const ServicePattern& service,
                        const ServiceCallPlan& plan,
                        size_t first_address,
                        Callback callback) {
  const std::shared_ptr<ServiceCall> call(new ServiceCall(
      context, service, plan, first_address, std::move(callback)));
  call->FindAddresses();
}

ServiceCall::ServiceCall(const CallContext* context,
                         const ServicePattern& service,
                         const ServiceCallPlan& plan,
                         size_t first_address,
                         Callback callback)
    : context_(context),
      service_(service),
      plan_(plan),
      next_address_(first_address),
      callback_(std::move(callback)),
      started_(context->loop->Now()) {
  outcome_.idempotency_key = plan.idempotency_key;
}

void ServiceCall::FindAddresses() {
  context_->directory->Find(
      {plan_.organisation, "", ""},
      [self = shared_from_this()](const HostDirectory::Addresses& addresses) {
        self->addresses_ = addresses;
        self->Send();
      });
}

void ServiceCall::Send() {
  // A call without an answer may have run, so retries end only when the caller
  // times out.
  if (context_->loop->Now() - started_ > service_.patience) {
    Finish(Ending::kNone, 0);
    return;
  }
  ++outcome_.sends;
  if (addresses_.empty()) {
    RetryLater(kResendWait);
    return;
  }
  http::ClientRequest request;
  request.method = "POST";
  request.address = addresses_[next_address_++ % addresses_.size()];
  request.target =
      fmt::format("/v1/services/{}/{}", service_.name, service_.path);
  request.headers = {
      {"Content-Type", "application/json"},
      {std::string(http::kOrganisationHeader), plan_.organisation},
      {std::string(http::kIdempotencyKeyHeader), plan_.idempotency_key}};
  request.body = plan_.body;
  // The timeout of one send is shorter than that of the caller, so that time is
  // left to retry through another host when a connection becomes idle.
  request.total_timeout = context_->caller.patience / kSendsWithinTimeout;
  request.needs_fresh_connection = outcome_.sends > 1;
  context_->client->Fetch(
      request, [self = shared_from_this()](
                   const absl::StatusOr<http::ClientResponse>& response) {
        self->OnResponse(response);
      });
}

void ServiceCall::OnResponse(
    const absl::StatusOr<http::ClientResponse>& response) {
  if (!response.ok()) {
    // The call may have run, so the retry must use the same idempotency key.
    RetryLater(kResendWait);
    return;
  }
  if (response->status == support::kHttpOk) {
    const nlohmann::json body = support::ParseObject(response->body);
    outcome_.answered_key = body.is_object() ? body.value("key", "") : "";
    Finish(Ending::kAnswered, 0);
    return;
  }
  const int code =
      ErrorCodeOf(response->status, response->headers, response->body);
  if (IsRefusal(code)) {
    Finish(Ending::kRefused, code);
  } else if (code == kOutcomeUnknownCode) {
    Finish(Ending::kUnknown, code);
  } else {
    Finish(Ending::kFailed, code);
  }
}

void ServiceCall::RetryLater(core::Duration delay) {
  retry_timer_ = context_->loop->NewTimer(
      [self = shared_from_this()] { self->FindAddresses(); });
  retry_timer_->StartOnce(delay);
}

void ServiceCall::Finish(Ending ending, int code) {
  outcome_.ending = ending;
  outcome_.code = code;
  outcome_.latency = context_->loop->Now() - started_;
  // The timer's callback owns a reference to the call and may be executing, so
  // the timer is destroyed from a later loop iteration.
  const std::shared_ptr<ServiceCall> self = shared_from_this();
  context_->loop->Post([self] { self->retry_timer_ = nullptr; });
  callback_(outcome_);
}

}  // namespace wasabi::load
