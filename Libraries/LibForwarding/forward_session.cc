#include "LibForwarding/forward_session.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

// Larger answers are relayed as they arrive, smaller ones once they are
// complete.
constexpr size_t kMaxBufferedBytes = 256U << 10U;
// Reading from the endpoint pauses while a slow caller has at least this many
// unsent bytes.
constexpr size_t kMaxUnsentBytes = 256U << 10U;
// Maximum number of bytes between two events of a stream.
constexpr size_t kMaxEventBytes = 256U << 10U;
// The body of an invalid answer is read only if it is this short, to keep the
// connection usable.
constexpr uint64_t kMaxIgnoredBytes = 64U << 10U;
// Maximum number of sends of one request, including those that were refused.
constexpr uint32_t kMaxSends = 4;
// Maximum share of the remaining time for which a request is queued on this
// host. The rest leaves the caller time to retry.
constexpr double kMaxQueueTimeShare = 0.25;
// Minimum time without a byte before a connection is suspected to be lost.
constexpr core::Duration kMinSilenceTimeout = core::milliseconds(600);
// Range of the random delay after which a refused caller may retry.
constexpr core::Duration kMinRetryAfter = core::milliseconds(100);
constexpr core::Duration kMaxRetryAfter = core::milliseconds(500);
// Permits that are asked of other hosts, and denied, before only endpoints that
// need no permit are chosen: without this bound, a request that meets a pool
// whose endpoints are all at their limits asks for each of them in turn. A
// question takes 1 to 4 ms, and up to 100 ms if the other host is silent.
constexpr uint32_t kMaxDeniedQuestions = 4;
// The same for permits that this host denies itself, which takes no time but a
// choice among all endpoints of the pool.
constexpr uint32_t kMaxDenials = 32;
// An answer is due this long before the caller stops waiting.
constexpr core::Duration kAnswerMargin = core::milliseconds(5);

std::string_view NameOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kNoPath:
      return "no_path";
    case AttemptEnd::kCut:
      return "cut";
    case AttemptEnd::kMalformedAnswer:
      return "improper";
    case AttemptEnd::kOversizedAnswer:
      return "oversized";
    case AttemptEnd::kSilent:
      return "silent";
  }
  return "unknown";
}

}  // namespace

void ForwardSession::Run(ForwardContext* context,
                         std::shared_ptr<http::Transaction> transaction,
                         ForwardRequest request) {
  const auto session = std::make_shared<ForwardSession>(
      context, std::move(transaction), std::move(request));
  session->self_ = session;
  session->Start();
}

ForwardSession::ForwardSession(ForwardContext* context,
                               std::shared_ptr<http::Transaction> transaction,
                               ForwardRequest request)
    : context_(context),
      transaction_(std::move(transaction)),
      request_(std::move(request)),
      fingerprint_(FingerprintOf(request_)),
      chooser_(context, request_),
      answer_deadline_(
          std::min(request_.deadline - kAnswerMargin,
                   request_.received_at + request_.route->timeout)),
      last_event_id_(request_.resume_after) {}

void ForwardSession::Start() {
  if (request_.resume_after) {
    ++context_->metrics->Counter("streams_resumed_by_callers");
  }
  const auto weak = weak_from_this();
  transaction_->OnCallerGone([weak]() {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  deadline_timer_ = context_->loop->NewTimer([weak]() {
    if (const auto self = weak.lock()) {
      self->OnDeadline();
    }
  });
  deadline_timer_->StartOnce(
      std::max(answer_deadline_ - Now(), core::Duration::zero()));
  context_->RetryAllowanceFor(chooser_.pool()).RecordRequest(Now());
  if (EndIfQuarantined()) {
    return;
  }
  if (request_.resume_after && IsStream()) {
    FindOrigin();
  } else {
    DispatchOrWait();
  }
}

StreamKey ForwardSession::Key() const {
  return KeyOfStream(request_.organisation,
                     request_.first_attempt.value_or(request_.id));
}

void ForwardSession::FindOrigin() {
  if (!request_.first_attempt) {
    OnOriginFound(std::nullopt);
    return;
  }
  context_->stream_origins->Find(
      Key(), Now(),
      [weak = weak_from_this()](std::optional<StreamOrigin> origin) {
        const auto self = weak.lock();
        if (self != nullptr && !self->has_ended_) {
          self->OnOriginFound(origin);
        }
      });
}

void ForwardSession::OnOriginFound(std::optional<StreamOrigin> origin) {
  if (!origin) {
    ++context_->metrics->Counter("streams_of_unknown_origin");
    context_->origin_history.Observe(*context_->endpoints, Now());
    origin = context_->origin_history.OnlyOrigin(request_.route->pools, Now());
  }
  if (!origin) {
    Refuse(core::MakeStatus(core::ResultCode::kCannotResume,
                            "it is unknown where the stream began"));
    return;
  }
  if (!chooser_.ContinueAt(*origin)) {
    Refuse(core::MakeRefusal(core::ResultCode::kCannotResume,
                             "no endpoint can continue the stream",
                             RetryAfter()));
    return;
  }
  has_begun_ = true;
  DispatchOrWait();
}

void ForwardSession::OnStreamBegun() {
  has_begun_ = true;
  chooser_.ContinueAfter(attempt_->endpoint());
  if (request_.route->repeat == RepeatPolicy::kResumable) {
    context_->stream_origins->Record(Key(), OriginOf(attempt_->endpoint()),
                                     Now());
  }
}

void ForwardSession::DispatchOrWait() {
  if (!DispatchOrRefuse()) {
    Wait();
  }
}

bool ForwardSession::EndIfQuarantined() {
  if (!context_->suspects->IsRefused(fingerprint_, Now())) {
    return false;
  }
  ++context_->metrics->Counter("forward_quarantined");
  Fail(core::ResultCode::kQuarantined,
       "refused because requests like this one have crashed endpoints");
  return true;
}

bool ForwardSession::Dispatch() {
  if (EndIfQuarantined()) {
    return true;
  }
  const Endpoint* endpoint = chooser_.Choose(tried_, Now());
  if (endpoint == nullptr) {
    return false;
  }
  if (context_->places->IsBrittle(endpoint->id)) {
    AskForPlace(*endpoint);
  } else if (context_->permits->IsLimited(endpoint->id)) {
    AskForPermit(*endpoint);
  } else {
    StartAttempt(*endpoint);
  }
  return true;
}

void ForwardSession::AskForPlace(const Endpoint& endpoint) {
  LeaveQueue();
  context_->places->Acquire(
      endpoint.id, Now(), [weak = weak_from_this(), endpoint](bool is_granted) {
        const auto self = weak.lock();
        if (self != nullptr && !self->has_ended_ && is_granted) {
          self->AskForPermit(endpoint);
        } else if (self != nullptr && !self->has_ended_) {
          self->OnPermitDenied();
        }
      });
}

void ForwardSession::AskForPermit(const Endpoint& endpoint) {
  LeaveQueue();
  is_asking_ = false;
  const bool is_asking = context_->permits->Acquire(
      endpoint.id, Now(), [weak = weak_from_this(), endpoint](bool is_granted) {
        const auto self = weak.lock();
        if (self == nullptr || self->has_ended_) {
          return;
        }
        if (is_granted) {
          self->StartAttempt(endpoint);
          return;
        }
        // A place that was granted stays free.
        self->context_->places->OnFinished(endpoint.id, self->Now());
        self->CountDenial(endpoint.id);
        self->OnPermitDenied();
      });
  // A permit that is denied at once may have led to a question about another
  // endpoint by now.
  is_asking_ = is_asking_ || is_asking;
}

void ForwardSession::CountDenial(const core::RunnerId& endpoint) {
  ++denials_;
  denied_questions_ += is_asking_ ? 1 : 0;
  is_asking_ = false;
  chooser_.IgnoreReports(context_->permits->IsCold(endpoint));
  if (denied_questions_ != kMaxDeniedQuestions && denials_ != kMaxDenials) {
    return;
  }
  chooser_.AllowLimited(false);
  ++context_->metrics->Counter("forward_permits_exhausted");
  context_->events->Record(
      core::EventCode::kPermitsExhausted, request_.id.value(),
      fmt::format("endpoint={} denials={} denied_questions={} ms={}",
                  endpoint.value(), denials_, denied_questions_,
                  core::ToMilliseconds(Now() - request_.received_at)));
}

void ForwardSession::OnPermitDenied() {
  ++context_->metrics->Counter("forward_permits_denied");
  if (Dispatch()) {
    return;
  }
  if (runs_ > 0 || transaction_->is_started()) {
    FailAfterRun();
    return;
  }
  const core::TimePoint opening = chooser_.NextOpening(Now()).value_or(Now());
  Refuse(core::ResultCode::kOverloaded,
         "the endpoints are at their limits or full",
         std::max(opening - Now(), RetryAfter()));
}

bool ForwardSession::DispatchOrRefuse() {
  if (Dispatch()) {
    return true;
  }
  const auto closed_until = chooser_.ClosedUntil(tried_, Now());
  if (!closed_until) {
    return false;
  }
  Refuse(core::ResultCode::kOverloaded,
         "every endpoint has asked for a pause or is at its limit",
         std::max(*closed_until - Now(), RetryAfter()));
  return true;
}

void ForwardSession::Wait() {
  const auto weak = weak_from_this();
  ticket_ =
      context_->waiting->Join(chooser_.pool(), request_.priority, [weak]() {
        const auto self = weak.lock();
        return self == nullptr || self->DispatchOrRefuse();
      });
  const core::Duration left = answer_deadline_ - Now();
  queue_timer_ = context_->loop->NewTimer([weak]() {
    if (const auto self = weak.lock()) {
      self->OnQueueTimeout();
    }
  });
  queue_timer_->StartOnce(
      core::FromSeconds(core::ToSeconds(left) * kMaxQueueTimeShare));
  ++context_->metrics->Counter("forward_waits");
  context_->events->Record(
      core::EventCode::kRequestQueued, request_.id.value(),
      fmt::format("pool={} priority={} waiting={} left_ms={}",
                  chooser_.pool().value(), request_.priority,
                  context_->waiting->SizeOf(chooser_.pool()),
                  core::ToMilliseconds(left)));
}

void ForwardSession::LeaveQueue() {
  queue_timer_.reset();
  if (ticket_) {
    context_->waiting->Leave(*ticket_);
    ticket_.reset();
  }
}

void ForwardSession::StartAttempt(const Endpoint& endpoint) {
  LeaveQueue();
  verdict_ = AttemptVerdict::kInvalid;
  head_ = http::MessageHead();
  body_.clear();
  splitter_ = EventSplitter(last_event_id_);
  prompt_source_ = core::RunnerId();
  tried_.insert(endpoint.id);
  ++sends_;
  denials_ = 0;
  denied_questions_ = 0;
  chooser_.AllowLimited(true);
  chooser_.IgnoreReports(false);
  attempt_ = std::make_shared<ForwardAttempt>(context_, request_, endpoint);
  const auto weak = weak_from_this();
  ForwardAttempt::Callbacks callbacks;
  callbacks.on_head = [weak](AttemptVerdict verdict,
                             const http::MessageHead& head) {
    if (const auto self = weak.lock()) {
      self->OnHead(verdict, head);
    }
  };
  callbacks.on_body = [weak](std::string_view piece) {
    if (const auto self = weak.lock()) {
      self->OnBody(piece);
    }
  };
  callbacks.is_whole = [weak]() {
    const auto self = weak.lock();
    return self == nullptr || self->IsAnswerWhole();
  };
  callbacks.is_replaceable = [weak]() {
    const auto self = weak.lock();
    return self == nullptr || self->chooser_.HasOther(self->tried_);
  };
  callbacks.on_end = [weak](AttemptEnd end) {
    if (const auto self = weak.lock()) {
      self->OnAttemptEnd(end);
    }
  };
  AttemptOptions options;
  options.remaining = answer_deadline_ - Now();
  options.resume_after = last_event_id_;
  if (const Endpoint* source = chooser_.PromptSourceFor(endpoint, Now())) {
    options.prompt_source = source->address;
    prompt_source_ = source->id;
  }
  attempt_->Start(options, std::move(callbacks));
  if (CanRetryIfAttemptFails()) {
    attempt_->SetSilenceTimeout(FirstByteTimeout());
  }
}

core::Duration ForwardSession::FirstByteTimeout() const {
  return std::max(request_.route->latency_objective, kMinSilenceTimeout);
}

void ForwardSession::OnHead(AttemptVerdict verdict,
                            const http::MessageHead& head) {
  verdict_ = verdict;
  head_ = head;
  const bool is_short =
      head.content_length && *head.content_length <= kMaxIgnoredBytes;
  if (verdict == AttemptVerdict::kInvalid && !is_short) {
    attempt_->Abandon(AttemptEnd::kMalformedAnswer);
  }
}

void ForwardSession::OnBody(std::string_view piece) {
  if (verdict_ == AttemptVerdict::kSuccess && IsStream()) {
    RelayEvents(piece);
    return;
  }
  attempt_->RecordProgress();
  if (verdict_ == AttemptVerdict::kSuccess && transaction_->is_started()) {
    transaction_->Write(piece);
    ApplyBackPressure();
    return;
  }
  body_.append(piece);
  if (body_.size() <= kMaxBufferedBytes) {
    return;
  }
  if (verdict_ == AttemptVerdict::kSuccess) {
    BeginRelay();
    transaction_->Write(std::exchange(body_, {}));
    return;
  }
  // A refusal is stated by its head alone.
  attempt_->Abandon(verdict_ == AttemptVerdict::kNotRun
                        ? AttemptEnd::kAnswered
                        : AttemptEnd::kOversizedAnswer);
}

void ForwardSession::RelayEvents(std::string_view piece) {
  const std::string events = splitter_.Add(piece);
  if (!events.empty()) {
    RelayWholeEvents(events);
  }
  if (!splitter_.is_in_order()) {
    attempt_->Abandon(AttemptEnd::kMalformedAnswer);
  } else if (splitter_.bytes_without_event() > kMaxEventBytes) {
    attempt_->Abandon(AttemptEnd::kOversizedAnswer);
  }
}

void ForwardSession::RelayWholeEvents(const std::string& events) {
  if (!transaction_->is_started()) {
    BeginRelay();
    context_->metrics->Timing("forward_first_event_ms")
        .Add(core::ToSeconds(Now() - request_.received_at) * 1000);
  }
  transaction_->Write(events);
  if (splitter_.last_event_id() != last_event_id_) {
    if (!has_begun_) {
      OnStreamBegun();
    }
    last_event_id_ = splitter_.last_event_id();
    OnStreamProgress();
  }
  ApplyBackPressure();
}

void ForwardSession::OnStreamProgress() {
  attempt_->RecordProgress();
  if (CanRetryIfAttemptFails()) {
    attempt_->SetSilenceTimeout(
        std::max(request_.route->gap_objective * 2, kMinSilenceTimeout));
  }
}

void ForwardSession::BeginRelay() {
  const bool keeps_length = !IsStream();
  transaction_->StartStream(
      head_.status,
      context_->caller_protocol->FilterResponseHeaders(head_.headers),
      keeps_length ? head_.content_length : std::nullopt);
}

void ForwardSession::ApplyBackPressure() {
  if (is_paused_ || attempt_ == nullptr ||
      transaction_->unsent_bytes() < kMaxUnsentBytes) {
    return;
  }
  is_paused_ = true;
  attempt_->SetSilenceTimeout(core::Duration::zero());
  attempt_->SetReading(false);
  transaction_->OnDrained([weak = weak_from_this()]() {
    const auto self = weak.lock();
    if (self != nullptr && self->is_paused_ && self->attempt_ != nullptr) {
      self->is_paused_ = false;
      self->attempt_->SetReading(true);
    }
  });
}

void ForwardSession::RecordFailedAttempt(AttemptEnd end) {
  if (end == AttemptEnd::kMalformedAnswer) {
    ++context_->metrics->Counter("forward_malformed_answers");
  } else if (end == AttemptEnd::kOversizedAnswer) {
    ++context_->metrics->Counter("forward_oversized_answers");
  }
  const Endpoint& endpoint = attempt_->endpoint();
  context_->events->Record(
      core::EventCode::kAttemptFailed, request_.id.value(),
      fmt::format("endpoint={} software={} carrier={} end={} status={} "
                  "framing={} "
                  "partial_event_bytes={} ms={} load={} failure_share={:.2f} "
                  "sends={} endpoints_age_ms={}",
                  endpoint.id.value(), endpoint.software_version,
                  attempt_->carrier_name(), NameOf(end), head_.status,
                  head_.status == 0 ? "none" : http::NameOf(head_.framing()),
                  splitter_.remainder().size(),
                  core::ToMilliseconds(Now() - attempt_->started_at()),
                  context_->loads->Load(endpoint.id),
                  context_->monitor->FailureShare(endpoint.id, Now()), sends_,
                  core::ToMilliseconds(context_->endpoint_view_age())));
}

bool ForwardSession::IsAnswerWhole() const {
  const bool has_events = verdict_ == AttemptVerdict::kSuccess && IsStream() &&
                          request_.method != "HEAD";
  if (!has_events) {
    return true;
  }
  // An endpoint that breaks off before the first event may close its connection
  // like one that has nothing to send.
  const bool may_be_empty =
      head_.framing() != http::BodyFraming::kConnectionEnd;
  return splitter_.remainder().empty() &&
         (splitter_.has_events() || may_be_empty);
}

void ForwardSession::OnAttemptEnd(AttemptEnd end) {
  last_end_ = end;
  if (end != AttemptEnd::kAnswered || verdict_ != AttemptVerdict::kSuccess) {
    RecordFailedAttempt(end);
  }
  switch (end) {
    case AttemptEnd::kAnswered:
      OnAnswered();
      return;
    case AttemptEnd::kNotSent:
      OnAttemptNotRun("the endpoint is unreachable");
      return;
    case AttemptEnd::kNoPath:
      OnNoPath();
      return;
    case AttemptEnd::kCut:
    case AttemptEnd::kMalformedAnswer:
    case AttemptEnd::kOversizedAnswer:
    case AttemptEnd::kSilent:
      ++runs_;
      OnAttemptMayHaveRun();
      return;
  }
}

void ForwardSession::OnAnswered() {
  const core::RunnerId endpoint = attempt_->endpoint().id;
  switch (verdict_) {
    case AttemptVerdict::kSuccess:
      ++runs_;
      context_->monitor->RecordSuccess(endpoint, Now());
      context_->service_times.RecordServed(chooser_.pool(), Now());
      chooser_.RecordServed(endpoint, Now());
      context_->suspects->RecordCompletion(fingerprint_, Now());
      if (IsStream() || transaction_->is_started()) {
        FinishRelay();
      } else {
        DeliverBufferedAnswer();
      }
      return;
    case AttemptVerdict::kNotRun:
      context_->monitor->RecordFailure(endpoint, Now());
      OnAttemptNotRun("the endpoint refused the request");
      return;
    case AttemptVerdict::kFinal:
      ++runs_;
      DeliverBufferedAnswer();
      return;
    case AttemptVerdict::kFailure:
    case AttemptVerdict::kInvalid:
      ++runs_;
      context_->monitor->RecordFailure(endpoint, Now());
      OnAttemptMayHaveRun();
      return;
  }
}

void ForwardSession::OnNoPath() {
  if (runs_ > 0 || transaction_->is_started()) {
    FailAfterRun();
    return;
  }
  Refuse(core::ResultCode::kNoPath,
         "neither this host nor another one can reach endpoints");
}

void ForwardSession::OnAttemptNotRun(std::string_view reason) {
  const bool has_sent = verdict_ == AttemptVerdict::kNotRun;
  const bool may_try = sends_ < kMaxSends && (!has_sent || TakeRetry());
  const bool may_have_run = runs_ > 0 || transaction_->is_started();
  if (may_try && (may_have_run ? Dispatch() : DispatchOrRefuse())) {
    return;
  }
  if (may_have_run) {
    FailAfterRun();
    return;
  }
  if (may_try && chooser_.HasOther(tried_)) {
    // All other endpoints are currently full.
    Wait();
    return;
  }
  Refuse(core::ResultCode::kOverloaded, reason);
}

void ForwardSession::OnAttemptMayHaveRun() {
  const bool may_retry =
      IsRerunAllowed() && runs_ < request_.route->max_attempts &&
      sends_ < kMaxSends && chooser_.HasOther(tried_) && TakeRetry();
  if (may_retry && Dispatch()) {
    ++context_->metrics->Counter("forward_retries");
    if (transaction_->is_started()) {
      ++context_->metrics->Counter("streams_resumed_by_host");
    }
    return;
  }
  FailAfterRun();
}

void ForwardSession::FailAfterRun() {
  const bool has_failure = last_end_ == AttemptEnd::kAnswered &&
                           verdict_ == AttemptVerdict::kFailure &&
                           !transaction_->is_started();
  if (has_failure) {
    DeliverBufferedAnswer();
    return;
  }
  const bool is_malformed = last_end_ == AttemptEnd::kMalformedAnswer ||
                            last_end_ == AttemptEnd::kOversizedAnswer ||
                            (last_end_ == AttemptEnd::kAnswered &&
                             verdict_ == AttemptVerdict::kInvalid);
  const bool is_cut = !is_malformed;
  Fail(is_cut ? core::ResultCode::kAnswerTruncated
              : core::ResultCode::kMalformedAnswer,
       "the endpoint's answer is incomplete or malformed");
}

void ForwardSession::DeliverBufferedAnswer() {
  const bool is_head_request = request_.method == "HEAD";
  transaction_->StartStream(
      head_.status,
      context_->caller_protocol->FilterResponseHeaders(head_.headers),
      is_head_request ? head_.content_length.value_or(0) : body_.size());
  transaction_->Write(body_);
  transaction_->Finish();
  End(verdict_ == AttemptVerdict::kSuccess ? "answered" : "endpoint_failure");
}

void ForwardSession::FinishRelay() {
  if (!transaction_->is_started()) {
    BeginRelay();
  }
  transaction_->Finish();
  End("answered");
}

bool ForwardSession::IsRerunAllowed() const {
  return request_.route->repeat != RepeatPolicy::kAtMostOnce &&
         (request_.route->repeat == RepeatPolicy::kResumable ||
          !transaction_->is_started());
}

bool ForwardSession::CanRetryIfAttemptFails() const {
  return IsRerunAllowed() && runs_ + 1 < request_.route->max_attempts &&
         sends_ < kMaxSends;
}

bool ForwardSession::TakeRetry() {
  return context_->RetryAllowanceFor(chooser_.pool())
      .TryRetry(context_->host_count(), Now());
}

core::Duration ForwardSession::RetryAfter() {
  const double share = context_->random->Unit();
  return kMinRetryAfter +
         core::FromSeconds(core::ToSeconds(kMaxRetryAfter - kMinRetryAfter) *
                           share);
}

void ForwardSession::Refuse(core::ResultCode code, std::string_view message) {
  Refuse(code, message, RetryAfter());
}

void ForwardSession::Refuse(core::ResultCode code,
                            std::string_view message,
                            core::Duration retry_after) {
  Refuse(core::MakeRefusal(code, message, retry_after));
}

void ForwardSession::Refuse(const absl::Status& status) {
  transaction_->Respond(context_->caller_protocol->EncodeError(status));
  ++context_->metrics->Counter("forward_refusals");
  End(core::Describe(core::CodeOf(status)).name);
}

void ForwardSession::Fail(core::ResultCode code, std::string_view message) {
  if (transaction_->is_started()) {
    transaction_->Abort();
  } else {
    transaction_->Respond(context_->caller_protocol->EncodeError(
        core::MakeStatus(code, message)));
  }
  ++context_->metrics->Counter("forward_failures");
  End(core::Describe(code).name);
}

void ForwardSession::OnDeadline() {
  const bool has_sent = attempt_ != nullptr && attempt_->is_active();
  if (has_sent || runs_ > 0 || transaction_->is_started()) {
    Fail(core::ResultCode::kDeadlineExceeded, "the deadline has passed");
    return;
  }
  Refuse(core::ResultCode::kDeadlineTooShort,
         "no endpoint became free before the deadline");
}

void ForwardSession::OnQueueTimeout() {
  Refuse(core::ResultCode::kOverloaded, "every endpoint is full");
}

void ForwardSession::OnCallerGone() {
  End("caller_gone");
}

void ForwardSession::End(std::string_view outcome) {
  if (has_ended_) {
    return;
  }
  has_ended_ = true;
  LeaveQueue();
  deadline_timer_.reset();
  std::string endpoint = "none";
  std::string software = "none";
  std::string carrier = "none";
  if (attempt_ != nullptr) {
    endpoint = attempt_->endpoint().id.value();
    software = attempt_->endpoint().software_version;
    carrier = attempt_->carrier_name();
    attempt_->Cancel();
  }
  context_->events->Record(
      core::EventCode::kRequestEnded, request_.id.value(),
      fmt::format("outcome={} endpoint={} software={} carrier={} resumed={} "
                  "prompt_source={} framing={} "
                  "partial_event_bytes={} sends={} runs={} ms={} version={} "
                  "endpoints_age_ms={}",
                  outcome, endpoint, software, carrier,
                  request_.resume_after.has_value(),
                  prompt_source_.empty() ? "none" : prompt_source_.value(),
                  head_.status == 0 ? "none" : http::NameOf(head_.framing()),
                  splitter_.remainder().size(), sends_, runs_,
                  core::ToMilliseconds(Now() - request_.received_at),
                  request_.table->version(),
                  core::ToMilliseconds(context_->endpoint_view_age())));
  ++context_->metrics->Counter("forward_requests");
  context_->metrics->Timing("forward_ms")
      .Add(core::ToSeconds(Now() - request_.received_at) * 1000);
  // The freed slot may allow queued requests to start. This is posted to the
  // event loop because this session may be in a callback.
  context_->loop->Post([self = std::exchange(self_, nullptr),
                        context = context_]() { context->waiting->Serve(); });
}

}  // namespace wasabi::forwarding
