#include "Services/Router/engine_attempt.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Services/Router/answer_owner.h"

namespace wasabi::router {

namespace {

using core::MakeStatus;
using core::ResultCode;

constexpr int kHttpOk = 200;
constexpr int kHttpServiceUnavailable = 503;
// The body of an error is not used. A longer one is not waited for.
constexpr size_t kMaxErrorBytes = 64U << 10U;

// Returns `body` with the member "resume_from" added to its JSON object, unless
// `resume_from` is 0.
std::string WithResumeFrom(const std::string& body, uint32_t resume_from) {
  const size_t brace = body.rfind('}');
  if (resume_from == 0 || brace == std::string::npos) {
    return body;
  }
  return fmt::format("{},\"resume_from\":{}}}", body.substr(0, brace),
                     resume_from);
}

}  // namespace

std::shared_ptr<EngineAttempt> EngineAttempt::Start(
    http::Client* client,
    const EngineAttemptRequest& request,
    EngineAttemptCallbacks callbacks,
    core::TimePoint now) {
  std::shared_ptr<EngineAttempt> attempt(
      new EngineAttempt(request, std::move(callbacks), now));
  attempt->Send(client, request);
  return attempt;
}

EngineAttempt::EngineAttempt(const EngineAttemptRequest& request,
                             EngineAttemptCallbacks callbacks,
                             core::TimePoint now)
    : request_id_(request.request_id),
      attempt_(std::to_string(request.attempt)),
      is_bound_(request.is_bound),
      callbacks_(std::move(callbacks)),
      parser_(request.request_id,
              request.resume_from,
              request.is_bound,
              [this](uint32_t /*index*/, std::string_view payload) {
                has_chunks_ = true;
                if (!is_ended_) {
                  callbacks_.on_chunk(payload);
                }
              }),
      last_progress_(now) {}

void EngineAttempt::Send(http::Client* client,
                         const EngineAttemptRequest& request) {
  http::ClientRequest message;
  message.method = "POST";
  message.address = request.engine;
  message.target = "/v1/chat/completions";
  message.headers = {{"Content-Type", "application/json"},
                     {std::string(http::kRequestIdHeader), request_id_},
                     {std::string(http::kAttemptHeader), attempt_},
                     {std::string(http::kPriorityHeader), request.priority}};
  if (!request.chat.empty()) {
    message.headers.Add(std::string(http::kChatKeyHeader), request.chat);
  }
  if (!request.trace_parent.empty()) {
    message.headers.Add(std::string(http::kTraceParentHeader),
                        request.trace_parent);
  }
  message.body = WithResumeFrom(request.body, request.resume_from);
  message.needs_fresh_connection = true;
  const std::shared_ptr<EngineAttempt> self = shared_from_this();
  http::ClientCallbacks callbacks;
  callbacks.on_headers = [self](int status, const http::Headers& headers) {
    self->OnHeaders(status, headers);
  };
  callbacks.on_data = [self](std::string_view bytes) { self->OnData(bytes); };
  callbacks.on_done = [self](const absl::Status& status) {
    self->OnDone(status);
  };
  call_ = client->Send(message, std::move(callbacks));
}

void EngineAttempt::Cancel() {
  is_ended_ = true;
  call_->Cancel();
}

void EngineAttempt::OnHeaders(int status, const http::Headers& headers) {
  http_status_ = status;
  headers_ = headers;
  last_progress_ = core::Clock::now();
  if (is_ended_ || !is_bound_) {
    return;
  }
  // An error may name no request.
  const bool names_none =
      status == kHttpOk && (!headers.Find(http::kRequestIdHeader) ||
                            !headers.Find(http::kAttemptHeader));
  if (names_none || NamesOtherCall(headers, request_id_, attempt_)) {
    Fail(MakeStatus(ResultCode::kMismatchedAnswer,
                    "the engine answered for another request or attempt"));
  }
}

void EngineAttempt::OnData(std::string_view bytes) {
  if (is_ended_) {
    return;
  }
  if (http_status_ != kHttpOk) {
    error_bytes_ += bytes.size();
    if (error_bytes_ > kMaxErrorBytes) {
      Fail(HttpError());
    }
    return;
  }
  last_progress_ = core::Clock::now();
  const absl::Status status = parser_.Feed(bytes);
  if (!status.ok()) {
    Fail(status);
  }
}

void EngineAttempt::OnDone(const absl::Status& status) {
  if (is_ended_) {
    return;
  }
  is_ended_ = true;
  const bool is_end_ignored = !is_bound_ && has_chunks_;
  if (!status.ok() && !is_end_ignored) {
    callbacks_.on_done(status);
    return;
  }
  if (http_status_ != kHttpOk) {
    callbacks_.on_done(HttpError());
    return;
  }
  callbacks_.on_done(
      parser_.is_whole()
          ? absl::OkStatus()
          : MakeStatus(
                ResultCode::kAnswerTruncated,
                "the answer ended without its finish chunk or end marker"));
}

void EngineAttempt::Fail(const absl::Status& status) {
  Cancel();
  callbacks_.on_done(status);
}

absl::Status EngineAttempt::HttpError() const {
  constexpr core::Duration kDefaultRetryAfter = std::chrono::seconds(1);
  if (http_status_ == kHttpServiceUnavailable) {
    const auto code =
        core::ParseNumber<int>(headers_.Get(http::kResultCodeHeader));
    const bool is_stopping = code == static_cast<int>(ResultCode::kStopping);
    return core::MakeRefusal(
        is_stopping ? ResultCode::kStopping : ResultCode::kOverloaded,
        "the engine refused the request", kDefaultRetryAfter);
  }
  return MakeStatus(
      ResultCode::kMalformedRequest,
      fmt::format("the engine answered with HTTP status {}", http_status_));
}

}  // namespace wasabi::router
