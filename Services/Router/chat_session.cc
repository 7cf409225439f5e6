#include "Services/Router/chat_session.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::router {

namespace {

using core::EventCode;
using core::MakeRefusal;
using core::MakeStatus;
using core::ResultCode;

// Limit on retries through another router. The request did not run before such
// a retry, except possibly after kPeerSilent, which also consumes the retry
// budget.
constexpr uint32_t kMaxHostRetries = 8;
constexpr core::Duration kHostRetryBackoff = std::chrono::milliseconds(25);
// Interrupted answers are first resumed on the same runner, because its cache
// holds the context.
constexpr uint32_t kMaxSameRunnerRetries = 2;
constexpr uint32_t kCrashesUntilRefused = 2;
// Limit on restarting the preference order after its last choice rejects the
// request.
constexpr uint32_t kMaxOrderRestarts = 3;
constexpr core::Duration kQuarantineRetryAfter = std::chrono::minutes(10);
constexpr core::Duration kOverloadRetryAfter = std::chrono::seconds(1);
// The owner ends a request at its deadline. The entry router waits this much
// longer to receive that result.
constexpr core::Duration kDeadlineGrace = std::chrono::milliseconds(50);

// Returns true if a submission that ended with `code` may have reached an
// engine.
bool MayHaveRun(ResultCode code) {
  return code == ResultCode::kPeerSilent ||
         code == ResultCode::kAnswerTruncated ||
         code == ResultCode::kMismatchedAnswer ||
         code == ResultCode::kEndpointFailed;
}

}  // namespace

// Receives the outcome of one submission. Ignores all calls once the session
// has ended or moved on to another submission.
class ChatSession::SubmissionSink : public WorkSink {
 public:
  explicit SubmissionSink(std::weak_ptr<ChatSession> session)
      : session_(std::move(session)) {}

  void OnStarted() override {
    if (const auto session = Current()) {
      session->OnStarted();
    }
  }
  void OnTryNext() override {
    if (const auto session = Current()) {
      session->OnTryNext();
    }
  }
  void OnFollowPointer(const core::RunnerId& runner) override {
    if (const auto session = Current()) {
      session->OnFollowPointer(runner);
    }
  }
  void OnChunk(uint32_t index, std::string_view payload) override {
    if (const auto session = Current()) {
      session->OnChunk(index, payload);
    }
  }
  void OnDone(const absl::Status& status) override {
    if (const auto session = Current()) {
      session->OnSubmissionDone(status);
    }
  }

 private:
  std::shared_ptr<ChatSession> Current() const {
    std::shared_ptr<ChatSession> session = session_.lock();
    const bool is_current = session != nullptr && !session->is_ended_ &&
                            session->current_submission_.get() == this;
    return is_current ? session : nullptr;
  }

  std::weak_ptr<ChatSession> session_;
};

std::shared_ptr<ChatSession> ChatSession::Start(
    const SessionContext* context,
    RequestContext request,
    const std::shared_ptr<CallerStream>& stream) {
  std::shared_ptr<ChatSession> session(
      new ChatSession(context, std::move(request)));
  session->Begin(stream);
  return session;
}

ChatSession::ChatSession(const SessionContext* context, RequestContext request)
    : context_(context),
      request_(std::move(request)),
      record_(std::make_shared<AnswerRecord>(0, request_.content_digest)) {}

void ChatSession::Begin(const std::shared_ptr<CallerStream>& stream) {
  stream_ = stream;
  (void)record_->Listen(0, stream_);
  context_->answers->Put(AnswerKey(request_.organisation, request_.request),
                         record_, request_.now);
  context_->record_first_attempt(request_.model_pool->pool);
  deadline_timer_ = context_->loop->NewTimer([self = shared_from_this()] {
    self->Finish(
        self->record_->next_index() > 0
            ? MakeStatus(ResultCode::kDeadlineExceeded,
                         "the deadline expired before the answer was complete")
            : MakeRefusal(ResultCode::kDeadlineExceeded,
                          "the deadline expired before the answer started",
                          kOverloadRetryAfter));
  });
  deadline_timer_->StartOnce(request_.deadline - request_.now + kDeadlineGrace);
  order_ = context_->preference_order(request_);
  if (order_.size() > context_->settings->max_choices) {
    order_.resize(context_->settings->max_choices);
  }
  SubmitToCurrentChoice();
}

void ChatSession::SubmitToCurrentChoice() {
  while (choice_ < order_.size() &&
         excluded_runners_.contains(order_[choice_])) {
    ++choice_;
  }
  if (choice_ >= order_.size()) {
    Finish(MakeRefusal(
        order_.empty() ? ResultCode::kNoEndpoint : ResultCode::kOverloaded,
        order_.empty() ? "the pool has no live runner"
                       : "no runner of the pool accepted the request",
        kOverloadRetryAfter));
    return;
  }
  SubmitToRunner(order_[choice_], static_cast<uint32_t>(choice_));
}

void ChatSession::SubmitToRunner(const core::RunnerId& runner,
                                 uint32_t choice) {
  bool is_forced = false;
  const membership::Member* host = PickHost(runner, &is_forced);
  if (host == nullptr) {
    Finish(MakeRefusal(ResultCode::kNoEndpoint,
                       "the membership table contains no router",
                       kOverloadRetryAfter));
    return;
  }
  current_runner_ = runner;
  current_host_ = host->id;
  SubmitWork work = MakeWork(runner, choice);
  work.is_forced = is_forced;
  current_submission_ = std::make_shared<SubmissionSink>(weak_from_this());
  if (host->id != context_->settings->host) {
    RecordEvent(
        EventCode::kRequestForwarded,
        fmt::format("runner={} host={}", runner.value(), host->id.value()));
  }
  context_->transport->Submit(*host, work, current_submission_);
}

const membership::Member* ChatSession::PickHost(const core::RunnerId& runner,
                                                bool* is_forced) const {
  // The returned pointer stays valid because the membership service also holds
  // this view.
  const membership::MemberTableSnapshot members = context_->members();
  const std::vector<const membership::Member*> hosts = members->RankedOwners(
      RunnerOwnershipName(runner), membership::MemberRole::kRouter);
  for (const membership::Member* host : hosts) {
    if (!avoided_hosts_.contains(host->id)) {
      *is_forced = host != hosts.front() || host_retries_ > 2;
      return host;
    }
  }
  *is_forced = true;
  return hosts.empty() ? nullptr : hosts.front();
}

SubmitWork ChatSession::MakeWork(const core::RunnerId& runner,
                                 uint32_t choice) const {
  const core::Duration remaining = request_.deadline - context_->loop->Now();
  SubmitWork work;
  work.runner = runner;
  work.pool = request_.model_pool->pool;
  work.request = request_.request;
  work.organisation = request_.organisation;
  work.organisation_weight = request_.organisation_weight;
  work.chat = request_.chat;
  work.priority = request_.priority;
  work.size = request_.size;
  work.content_digest = request_.content_digest;
  work.remaining_ms = std::max<int64_t>(core::ToMilliseconds(remaining), 0);
  work.choice = choice;
  work.is_last_choice = IsLastChoice(runner);
  work.pointer_use = pointer_use_;
  work.attempt = attempt_;
  work.resume_from = record_->next_index();
  work.crashes = crashes_;
  work.body = request_.engine_body;
  work.trace_parent = request_.trace_parent;
  return work;
}

bool ChatSession::IsLastChoice(const core::RunnerId& runner) const {
  return std::none_of(order_.begin(), order_.end(),
                      [&](const core::RunnerId& it) {
                        return it != runner && !excluded_runners_.contains(it);
                      });
}

void ChatSession::OnStarted() {
  if (request_.chat.empty() || order_.empty() ||
      current_runner_ == order_.front()) {
    return;
  }
  RecordEvent(EventCode::kRequestDisplaced,
              fmt::format("runner={} first_choice={}", current_runner_.value(),
                          order_.front().value()));
  const membership::MemberTableSnapshot members = context_->members();
  const membership::Member* host = members->OwnerOf(
      RunnerOwnershipName(order_.front()), membership::MemberRole::kRouter);
  if (host != nullptr) {
    context_->transport->RecordPointer(
        *host, {order_.front(), request_.model_pool->pool, request_.chat,
                current_runner_});
  }
}

void ChatSession::OnTryNext() {
  const bool was_last_choice = IsLastChoice(current_runner_);
  excluded_runners_.insert(current_runner_);
  if (pointer_use_ == routing::PointerUse::kFollowed) {
    pointer_use_ = routing::PointerUse::kSkipped;
  }
  if (was_last_choice && order_restarts_ < kMaxOrderRestarts) {
    // A last choice rejects a request only if its runner has stopped accepting
    // work. The other runners may have capacity again.
    ++order_restarts_;
    excluded_runners_ = {current_runner_};
    choice_ = 0;
    RetryAfterBackoff();
    return;
  }
  SubmitToCurrentChoice();
}

void ChatSession::OnFollowPointer(const core::RunnerId& runner) {
  const bool is_usable =
      pointer_use_ == routing::PointerUse::kUnused &&
      !excluded_runners_.contains(runner) &&
      context_->directory->AcceptsWork(runner.value(), context_->loop->Now());
  if (!is_usable) {
    pointer_use_ = routing::PointerUse::kSkipped;
    SubmitToCurrentChoice();
    return;
  }
  pointer_use_ = routing::PointerUse::kFollowed;
  RecordEvent(EventCode::kPointerFollowed,
              fmt::format("runner={}", runner.value()));
  SubmitToRunner(runner, static_cast<uint32_t>(choice_));
}

void ChatSession::OnChunk(uint32_t index, std::string_view payload) {
  if (index != record_->next_index()) {
    return;
  }
  record_->Append(payload);
}

void ChatSession::OnSubmissionDone(const absl::Status& status) {
  may_have_run_ = may_have_run_ || MayHaveRun(core::CodeOf(status));
  switch (core::CodeOf(status)) {
    case ResultCode::kOk:
      Finish(status);
      return;
    case ResultCode::kWrongOwner:
    case ResultCode::kPeerUnreachable:
    case ResultCode::kUnknownSender:
      RetryWithOtherHost(/*may_have_run=*/false);
      return;
    case ResultCode::kPeerSilent:
      RetryWithOtherHost(/*may_have_run=*/true);
      return;
    case ResultCode::kAnswerTruncated:
    case ResultCode::kMismatchedAnswer:
      if (same_runner_retries_ < kMaxSameRunnerRetries) {
        ResumeOnSameRunner();
      } else {
        ResumeOnNextRunner(status);
      }
      return;
    case ResultCode::kEndpointFailed:
      ++crashes_;
      if (crashes_ >= kCrashesUntilRefused) {
        Finish(MakeRefusal(ResultCode::kQuarantined,
                           "the request crashed two endpoints",
                           kQuarantineRetryAfter));
        return;
      }
      ResumeOnNextRunner(status);
      return;
    default:
      Finish(status);
  }
}

void ChatSession::RetryWithOtherHost(bool may_have_run) {
  if (++host_retries_ > kMaxHostRetries || (may_have_run && !TakeRetry())) {
    Finish(MakeRefusal(
        ResultCode::kNoEndpoint,
        "no router accepted the request, or the retry budget is used up",
        kOverloadRetryAfter));
    return;
  }
  if (may_have_run) {
    ++attempt_;
  }
  avoided_hosts_.insert(current_host_);
  RetryAfterBackoff();
}

void ChatSession::ResumeOnSameRunner() {
  ++same_runner_retries_;
  if (!TakeRetry()) {
    Finish(MakeStatus(ResultCode::kAnswerTruncated,
                      "the answer broke off and the retry budget is used up"));
    return;
  }
  ++attempt_;
  RecordEvent(EventCode::kAttemptResumed,
              fmt::format("runner={} from={}", current_runner_.value(),
                          record_->next_index()));
  RetryAfterBackoff();
}

void ChatSession::ResumeOnNextRunner(const absl::Status& status) {
  excluded_runners_.insert(current_runner_);
  if (!TakeRetry()) {
    Finish(status);
    return;
  }
  ++attempt_;
  same_runner_retries_ = 0;
  pointer_use_ = routing::PointerUse::kUnused;
  // Runners that were at capacity may accept the request again.
  const core::RunnerId failed = current_runner_;
  excluded_runners_ = {failed};
  choice_ = 0;
  RecordEvent(
      EventCode::kAttemptResumed,
      fmt::format("after={} from={}", failed.value(), record_->next_index()));
  RetryAfterBackoff();
}

void ChatSession::RetryAfterBackoff() {
  current_submission_ = nullptr;
  backoff_timer_ = context_->loop->NewTimer([self = shared_from_this()] {
    if (!self->is_ended_) {
      self->SubmitToCurrentChoice();
    }
  });
  backoff_timer_->StartOnce(kHostRetryBackoff * (host_retries_ + 1));
}

bool ChatSession::TakeRetry() {
  if (retries_ >= context_->settings->max_retries ||
      context_->settings->IsDisabled("retries") ||
      !context_->take_retry(request_.model_pool->pool)) {
    return false;
  }
  ++retries_;
  return true;
}

absl::Status ChatSession::WithoutFalseRefusal(
    const absl::Status& status) const {
  // A quarantine refusal is kept, because callers need its retry delay.
  const bool is_false_refusal =
      may_have_run_ && core::RetryAfterOf(status).has_value() &&
      core::CodeOf(status) != ResultCode::kQuarantined;
  return is_false_refusal
             ? MakeStatus(ResultCode::kAnswerTruncated, core::MessageOf(status))
             : status;
}

void ChatSession::Finish(const absl::Status& outcome) {
  if (is_ended_) {
    return;
  }
  is_ended_ = true;
  const absl::Status status = WithoutFalseRefusal(outcome);
  const bool is_refusal = core::RetryAfterOf(status).has_value();
  const EventCode code = status.ok()  ? EventCode::kRequestAnswered
                         : is_refusal ? EventCode::kRequestRefused
                                      : EventCode::kRequestFailed;
  RecordEvent(code, fmt::format("code={} attempts={} chunks={}",
                                static_cast<int>(core::CodeOf(status)),
                                attempt_, record_->next_index()));
  record_->Finish(status);
  // The timers hold references to the session; resetting them allows its
  // destruction. Posted because this function may run inside one of their
  // callbacks.
  context_->loop->Post([self = shared_from_this()] {
    self->deadline_timer_.reset();
    self->backoff_timer_.reset();
    self->current_submission_.reset();
  });
}

void ChatSession::RecordEvent(EventCode code, const std::string& detail) {
  context_->events->Record(code, request_.request.value(), detail);
}

}  // namespace wasabi::router
