#include "Utilities/Load/chat_call.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Tests/Support/answer_text.h"
#include "Utilities/Load/http_error.h"

namespace wasabi::load {

namespace {

// Interval at which a call checks its connection for the idle timeout.
constexpr core::Duration kIdleCheckInterval = std::chrono::milliseconds(100);
// Delay before the next attempt, for example after no address could be reached.
constexpr core::Duration kRetryDelay = std::chrono::milliseconds(200);
constexpr std::string_view kEndMarker = "[DONE]";

double ToFractionalMs(core::Duration duration) {
  return core::ToSeconds(duration) * 1e3;
}

}  // namespace

void ChatCall::Start(const CallContext* context,
                     const ChatTurn& turn,
                     const std::string& request_id,
                     core::Duration arrival,
                     Callback callback) {
  const std::shared_ptr<ChatCall> call(
      new ChatCall(context, turn, request_id, arrival, std::move(callback)));
  call->silence_timer_ =
      context->loop->NewTimer([call] { call->OnIdleCheck(); });
  call->silence_timer_->StartRepeating(kIdleCheckInterval);
  call->FindAddresses();
}

ChatCall::ChatCall(const CallContext* context,
                   const ChatTurn& turn,
                   const std::string& request_id,
                   core::Duration arrival,
                   Callback callback)
    : context_(context),
      turn_(turn),
      first_request_id_(request_id),
      body_(BodyOf(turn).dump()),
      query_({turn.organisation, turn.chat, turn.model}),
      callback_(std::move(callback)),
      started_(context->loop->Now()) {
  outcome_.request_id = request_id;
  outcome_.digest = support::RequestDigest(BodyOf(turn));
  outcome_.max_tokens = turn.max_tokens;
  outcome_.reusable_tokens = turn.reusable_tokens;
  outcome_.arrival = arrival;
}

void ChatCall::FindAddresses() {
  context_->directory->Find(
      query_,
      [self = shared_from_this()](const HostDirectory::Addresses& addresses) {
        if (self->is_finished_) {
          return;
        }
        self->addresses_ = addresses;
        self->next_address_ = 0;
        self->SendNext();
      });
}

void ChatCall::SendNext() {
  // Only the caller's timeout limits reattachments, because the connection of a
  // queued request can be idle for a long time without any fault.
  const bool has_sends_left =
      is_reattaching_ || outcome_.sends < context_->caller.attempts;
  if (!has_sends_left || HasTimedOut()) {
    Finish(Ending::kNone, 0);
    return;
  }
  if (next_address_ >= addresses_.size()) {
    context_->directory->Forget(query_);
    RetryLater(kRetryDelay);
    return;
  }
  http::ClientRequest request =
      is_reattaching_ ? MakeReattachment() : MakePost();
  request.address = addresses_[next_address_++];
  request.needs_fresh_connection = needs_fresh_connection_;
  outcome_.sends += is_reattaching_ ? 0 : 1;
  reply_ = Reply();
  stream_ = EventStream();
  last_byte_ = context_->loop->Now();
  if (first_send_ == core::TimePoint()) {
    first_send_ = last_byte_;
  }
  http::ClientCallbacks callbacks;
  callbacks.on_headers = [self = shared_from_this()](
                             int status, const http::Headers& headers) {
    self->reply_.status = status;
    self->reply_.headers = headers;
  };
  callbacks.on_data = [self = shared_from_this()](std::string_view bytes) {
    self->OnData(bytes);
  };
  callbacks.on_done = [self = shared_from_this()](const absl::Status& status) {
    self->OnDone(status);
  };
  call_ = context_->client->Send(request, std::move(callbacks));
}

http::ClientRequest ChatCall::MakePost() const {
  http::ClientRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = {
      {"Content-Type", "application/json"},
      {std::string(http::kOrganisationHeader), turn_.organisation},
      {std::string(http::kRequestIdHeader), outcome_.request_id},
      {std::string(http::kChatKeyHeader), turn_.chat}};
  request.body = body_;
  return request;
}

http::ClientRequest ChatCall::MakeReattachment() const {
  http::ClientRequest request;
  request.target = fmt::format("/v1/requests/{}?offset={}", outcome_.request_id,
                               received_tokens_);
  request.headers = {
      {std::string(http::kOrganisationHeader), turn_.organisation}};
  return request;
}

void ChatCall::OnData(std::string_view bytes) {
  last_byte_ = context_->loop->Now();
  if (reply_.status != support::kHttpOk) {
    reply_.error_body += bytes;
    return;
  }
  stream_.Feed(bytes, [this](std::string_view data) { OnEvent(data); });
}

void ChatCall::OnEvent(std::string_view data) {
  if (data == kEndMarker) {
    reply_.is_whole = true;
    return;
  }
  const nlohmann::json event = support::ParseObject(data);
  if (!event.is_object()) {
    return;
  }
  if (event.contains("error")) {
    reply_.error_code = event["error"].value("code", -1);
    return;
  }
  OnChunk(event);
}

void ChatCall::OnChunk(const nlohmann::json& chunk) {
  if (chunk.value("id", "") != outcome_.request_id) {
    ++outcome_.foreign_chunks;
  }
  if (chunk.contains("usage")) {
    const nlohmann::json& usage = chunk["usage"];
    outcome_.prompt_tokens = usage.value("prompt_tokens", 0U);
    outcome_.cached_tokens =
        usage.value("prompt_tokens_details", nlohmann::json::object())
            .value("cached_tokens", 0U);
    return;
  }
  const core::TimePoint now = context_->loop->Now();
  if (received_tokens_ == 0) {
    outcome_.first_token = now - first_send_;
  } else {
    context_->token_gaps_ms->push_back(
        static_cast<float>(ToFractionalMs(now - last_token_)));
  }
  last_token_ = now;
  ++received_tokens_;
  const nlohmann::json choices =
      chunk.value("choices", nlohmann::json::array());
  if (!choices.empty()) {
    outcome_.text += choices[0]
                         .value("delta", nlohmann::json::object())
                         .value("content", "");
  }
}

void ChatCall::OnDone(const absl::Status& status) {
  if (is_finished_) {
    return;
  }
  if (reply_.is_whole) {
    Finish(Ending::kAnswered, 0);
    return;
  }
  if (reply_.error_code != 0) {
    Finish(Ending::kFailed, reply_.error_code);
    return;
  }
  if (reply_.status != 0 && reply_.status != support::kHttpOk) {
    OnRefusal(ErrorCodeOf(reply_.status, reply_.headers, reply_.error_body));
    return;
  }
  if (core::CodeOf(status) == core::ResultCode::kPeerUnreachable) {
    SendNext();
    return;
  }
  Reattach();
}

void ChatCall::OnRefusal(int code) {
  if (is_reattaching_ && code == kUnknownRequestCode) {
    StartOver();
    return;
  }
  // An error from a host that is stopping or that can't reach the request's
  // owner does not tell the state of the request itself.
  if (is_reattaching_ && (code == kStoppingCode || IsInterProcessError(code))) {
    Reattach();
    return;
  }
  if (!IsRefusal(code)) {
    Finish(Ending::kFailed, code);
    return;
  }
  const size_t refusals = outcome_.refused_ids.size();
  outcome_.refused_ids.push_back(outcome_.request_id);
  const core::Duration wait = code == kStoppingCode
                                  ? core::Duration::zero()
                                  : RetryAfterOf(reply_.headers);
  const core::TimePoint return_time = context_->loop->Now() + wait;
  if (static_cast<int64_t>(refusals) >=
          context_->caller.returns_after_refusal ||
      return_time > started_ + context_->caller.patience) {
    Finish(Ending::kRefused, code);
    return;
  }
  // A refused request did not run, so the retry is a new request with its own
  // id.
  outcome_.request_id = fmt::format("{}-r{}", first_request_id_, refusals + 1);
  StartOver();
  RetryLater(wait);
}

void ChatCall::OnIdleCheck() {
  if (call_ == nullptr ||
      context_->loop->Now() - last_byte_ < context_->caller.silence) {
    return;
  }
  call_->Cancel();
  call_ = nullptr;
  needs_fresh_connection_ = true;
  Reattach();
}

void ChatCall::Reattach() {
  ++outcome_.reattachments;
  is_reattaching_ = true;
  call_ = nullptr;
  // The retry continues with the next host in the list, because the previous
  // host may have caused the fault.
  RetryLater(outcome_.reattachments > 1 ? kRetryDelay : core::Duration::zero());
}

void ChatCall::StartOver() {
  is_reattaching_ = false;
  call_ = nullptr;
  received_tokens_ = 0;
  outcome_.text.clear();
  outcome_.foreign_chunks = 0;
  RetryLater(kRetryDelay);
}

void ChatCall::RetryLater(core::Duration delay) {
  retry_timer_ = context_->loop->NewTimer([self = shared_from_this()] {
    if (self->next_address_ < self->addresses_.size()) {
      self->SendNext();
    } else {
      self->FindAddresses();
    }
  });
  retry_timer_->StartOnce(delay);
}

bool ChatCall::HasTimedOut() const {
  return context_->loop->Now() - started_ > context_->caller.patience;
}

void ChatCall::Finish(Ending ending, int code) {
  is_finished_ = true;
  outcome_.ending = ending;
  outcome_.code = code;
  call_ = nullptr;
  // The timers' callbacks own references to the call, and one of them may be
  // executing, so the timers are destroyed from a later loop iteration.
  const std::shared_ptr<ChatCall> self = shared_from_this();
  context_->loop->Post([self] {
    self->silence_timer_ = nullptr;
    self->retry_timer_ = nullptr;
  });
  callback_(outcome_);
}

}  // namespace wasabi::load
