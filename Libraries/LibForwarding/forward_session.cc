#include "LibForwarding/forward_session.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibForwarding/request_events.h"
#include "LibForwarding/retry_delay.h"

namespace wasabi::forwarding {

namespace {

// Minimum time without a byte before a connection is suspected to be lost.
constexpr core::Duration kMinSilenceTimeout = core::milliseconds(600);

}  // namespace

void ForwardSession::Run(ForwardContext* context,
                         std::shared_ptr<http::Transaction> transaction,
                         ForwardRequest request) {
  const auto session = std::make_shared<ForwardSession>(
      context, std::move(transaction), std::move(request));
  session->self_ = session;
  session->CreateSteps();
  session->Start();
}

ForwardSession::ForwardSession(ForwardContext* context,
                               std::shared_ptr<http::Transaction> transaction,
                               ForwardRequest request)
    : context_(context),
      transaction_(std::move(transaction)),
      request_(std::move(request)),
      fingerprint_(FingerprintOf(request_)),
      execution_(request_.route->repeat != RepeatPolicy::kAtMostOnce),
      chooser_(context, request_),
      answer_deadline_(request_.AnswerDue()) {
  context_->active_requests.Add(this);
}

ForwardSession::~ForwardSession() {
  // The context may be gone once the request has ended.
  if (!has_ended_) {
    context_->active_requests.Remove(this);
  }
}

void ForwardSession::CreateSteps() {
  resumption_ =
      std::make_shared<StreamResumption>(context_, request_, &chooser_);
  clearance_ = std::make_shared<SendClearance>(
      context_, request_, &chooser_, answer_deadline_,
      WhileAlive(&ForwardSession::OnClearance));
  retry_rule_ = std::make_unique<RetryRule>(context_, request_, *transaction_,
                                            chooser_, *clearance_, execution_);
  wait_ = std::make_shared<RequestWait>(
      context_, request_, &chooser_, answer_deadline_,
      RequestWait::Callbacks{
          .try_start =
              [weak = weak_from_this()]() {
                const auto self = weak.lock();
                return self == nullptr || self->DispatchOrRefuse();
              },
          .on_hopeless = WhileAlive(&ForwardSession::OnHopeless),
          .on_timeout = WhileAlive(&ForwardSession::OnQueueTimeout)});
  relay_ = std::make_shared<ResponseRelay>(
      context_, request_, transaction_, WhileAlive(&ForwardSession::OnEvent));
}

void ForwardSession::Start() {
  if (request_.resume_after) {
    ++context_->metrics->Counter("streams_resumed_by_callers");
  }
  transaction_->OnCallerGone(WhileAlive(&ForwardSession::OnCallerGone));
  deadline_timer_ =
      context_->loop->NewTimer(WhileAlive(&ForwardSession::OnDeadline));
  deadline_timer_->StartOnce(
      std::max(answer_deadline_ - Now(), core::Duration::zero()));
  context_->RetryAllowanceFor(chooser_.pool()).RecordRequest(Now());
  if (EndIfQuarantined()) {
    return;
  }
  if (request_.resume_after && IsStream()) {
    resumption_->FindOrigin(WhileAlive(&ForwardSession::OnOrigin));
  } else {
    DispatchOrWait();
  }
}

void ForwardSession::OnOrigin(const absl::StatusOr<StreamOrigin>& origin) {
  if (!origin.ok()) {
    Refuse(origin.status());
    return;
  }
  if (!resumption_->ContinueAt(*origin)) {
    Refuse(core::ResultCode::kCannotResume,
           "no endpoint can continue the stream");
    return;
  }
  DispatchOrWait();
}

void ForwardSession::DispatchOrWait() {
  wait_->RecordArrival();
  if (!DispatchOrRefuse()) {
    wait_->Join();
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
  if (EndIfQuarantined() || EndIfTooLate()) {
    return true;
  }
  const Clearance clearance = clearance_->Ask();
  if (clearance.outcome == ClearanceOutcome::kNoEndpoint) {
    return false;
  }
  LeaveQueue();
  if (clearance.outcome == ClearanceOutcome::kDenied) {
    EndDenied();
  } else {
    OnClearance(clearance);
  }
  return true;
}

bool ForwardSession::EndIfTooLate() {
  if (!context_->stop || retry_rule_->MayHaveRun() ||
      context_->stop->Sends(Now(), answer_deadline_)) {
    return false;
  }
  RecordInterrupted(*context_, request_, *relay_, nullptr,
                    context_->stop->began_at());
  Refuse(core::ResultCode::kStopping,
         "the host shuts down before the answer is certain to be complete",
         core::Duration::zero());
  return true;
}

bool ForwardSession::DispatchOrRefuse() {
  return Dispatch() || RefuseIfClosed();
}

bool ForwardSession::RefuseIfClosed() {
  if (chooser_.IsEvacuated()) {
    Refuse(core::ResultCode::kNoEndpoint,
           "every endpoint is in an evacuated data centre");
    return true;
  }
  const auto closed_until = chooser_.ClosedUntil(clearance_->tried(), Now());
  if (!closed_until) {
    return false;
  }
  Refuse(core::ResultCode::kOverloaded,
         "every endpoint has asked for a pause or is at its limit",
         std::max(*closed_until - Now(), RetryAfter()));
  return true;
}

void ForwardSession::OnClearance(const Clearance& clearance) {
  switch (clearance.outcome) {
    case ClearanceOutcome::kGranted:
      OnGranted(*clearance.endpoint);
      return;
    case ClearanceOutcome::kPoolFull:
      OnPoolFull(clearance.wait);
      return;
    case ClearanceOutcome::kNoEndpoint:
      OnNoEndpoint();
      return;
    case ClearanceOutcome::kDenied:
      OnDenied();
      return;
    case ClearanceOutcome::kEvacuated:
      OnEvacuated();
      return;
    case ClearanceOutcome::kPending:
      return;
  }
}

void ForwardSession::OnGranted(const Endpoint& endpoint) {
  // The questions to other hosts take time.
  if (EndIfTooLate()) {
    clearance_->Return(endpoint);
    return;
  }
  StartAttempt(endpoint);
}

void ForwardSession::OnPoolFull(core::Duration wait) {
  if (retry_rule_->MayHaveRun()) {
    FailAfterRun();
    return;
  }
  Refuse(core::ResultCode::kOverloaded, "every slot of the pool is taken",
         std::max(wait, RetryAfter()));
}

void ForwardSession::OnNoEndpoint() {
  if (retry_rule_->MayHaveRun()) {
    FailAfterRun();
  } else if (!RefuseIfClosed()) {
    wait_->Join();
  }
}

void ForwardSession::OnDenied() {
  if (!Dispatch()) {
    EndDenied();
  }
}

void ForwardSession::EndDenied() {
  if (retry_rule_->MayHaveRun()) {
    FailAfterRun();
    return;
  }
  const core::TimePoint opening = chooser_.NextOpening(Now()).value_or(Now());
  Refuse(core::ResultCode::kOverloaded,
         "the endpoints are at their limits or full",
         std::max(opening - Now(), RetryAfter()));
}

void ForwardSession::OnEvacuated() {
  if (!retry_rule_->MayHaveRun()) {
    DispatchOrWait();
  } else if (!Dispatch()) {
    FailAfterRun();
  }
}

void ForwardSession::StartAttempt(const Endpoint& endpoint) {
  prompt_source_ = core::RunnerId();
  attempt_ = std::make_shared<ForwardAttempt>(context_, request_, endpoint);
  relay_->Expect(attempt_);
  has_event_ = false;
  AttemptOptions options;
  options.remaining = answer_deadline_ - Now();
  options.resume_after = relay_->last_event_id();
  if (const Endpoint* source = chooser_.PromptSourceFor(endpoint, Now())) {
    options.prompt_source = source->address;
    prompt_source_ = source->id;
  }
  attempt_->Start(options, AttemptCallbacks());
  if (retry_rule_->CanRetryIfAttemptFails()) {
    attempt_->SetSilenceTimeout(
        std::max(request_.route->latency_objective, kMinSilenceTimeout));
  }
}

ForwardAttempt::Callbacks ForwardSession::AttemptCallbacks() {
  ForwardAttempt::Callbacks callbacks = relay_->AttemptCallbacks();
  callbacks.may_send = [weak = weak_from_this()]() {
    const auto self = weak.lock();
    return self != nullptr && self->execution_.BeginSend();
  };
  callbacks.is_replaceable = [weak = weak_from_this()]() {
    const auto self = weak.lock();
    return self == nullptr ||
           self->chooser_.HasOther(self->clearance_->tried());
  };
  callbacks.on_end = WhileAlive(&ForwardSession::OnAttemptEnd);
  return callbacks;
}

void ForwardSession::OnEvent() {
  if (!has_event_) {
    has_event_ = true;
    RecordAnswerTime();
  }
  resumption_->OnEvent(attempt_->endpoint());
  if (retry_rule_->CanRetryIfAttemptFails()) {
    attempt_->SetSilenceTimeout(
        std::max(request_.route->gap_objective * 2, kMinSilenceTimeout));
  }
}

void ForwardSession::RecordAnswerTime() {
  const Endpoint& endpoint = attempt_->endpoint();
  if (context_->UsesPace(endpoint.pool)) {
    context_->paces->RecordAnswer(endpoint.pool, endpoint.id, chooser_.needs(),
                                  Now() - attempt_->started_at(), Now());
  }
}

void ForwardSession::RecordExecution(AttemptEnd end) {
  // An attempt that sent nothing has left the record as it was.
  if (end == AttemptEnd::kAnswered &&
      relay_->verdict() == AttemptVerdict::kNotRun) {
    execution_.RecordRefusal();
  } else {
    execution_.RecordUnknown();
  }
}

void ForwardSession::OnAttemptEnd(AttemptEnd end) {
  last_end_ = end;
  RecordExecution(end);
  if (end != AttemptEnd::kAnswered ||
      relay_->verdict() != AttemptVerdict::kSuccess) {
    RecordFailedAttempt(*context_, request_, *attempt_, *relay_, end,
                        clearance_->sends());
  }
  switch (end) {
    case AttemptEnd::kAnswered:
      OnAnswered();
      return;
    case AttemptEnd::kNotSent:
      OnAttemptNotRun("the endpoint is unreachable");
      return;
    case AttemptEnd::kWithheld:
      Fail(core::ResultCode::kOutcomeUnknown,
           "the request may have run, and must not run again");
      return;
    case AttemptEnd::kNoPath:
      OnNoPath();
      return;
    case AttemptEnd::kCut:
    case AttemptEnd::kMalformedAnswer:
    case AttemptEnd::kOversizedAnswer:
    case AttemptEnd::kSilent:
      retry_rule_->RecordRun();
      OnAttemptMayHaveRun();
      return;
  }
}

void ForwardSession::OnAnswered() {
  const core::RunnerId endpoint = attempt_->endpoint().id;
  switch (relay_->verdict()) {
    case AttemptVerdict::kSuccess:
      retry_rule_->RecordRun();
      context_->monitor->RecordSuccess(endpoint, Now());
      context_->service_times.RecordServed(chooser_.pool(), Now());
      chooser_.RecordServed(endpoint, Now());
      context_->suspects->RecordCompletion(fingerprint_, Now());
      if (IsStream() || transaction_->is_started()) {
        relay_->Finish();
        End("answered");
      } else {
        RecordAnswerTime();
        DeliverBufferedAnswer();
      }
      return;
    case AttemptVerdict::kNotRun:
      context_->monitor->RecordFailure(endpoint, Now());
      OnAttemptNotRun("the endpoint refused the request");
      return;
    case AttemptVerdict::kFinal:
      retry_rule_->RecordRun();
      if (transaction_->is_started()) {
        // It is no part of the stream that the caller has.
        OnAttemptMayHaveRun();
      } else {
        DeliverBufferedAnswer();
      }
      return;
    case AttemptVerdict::kFailure:
    case AttemptVerdict::kInvalid:
      retry_rule_->RecordRun();
      context_->monitor->RecordFailure(endpoint, Now());
      OnAttemptMayHaveRun();
      return;
  }
}

void ForwardSession::OnNoPath() {
  if (retry_rule_->MayHaveRun()) {
    FailAfterRun();
    return;
  }
  Refuse(core::ResultCode::kNoPath,
         "neither this host nor another one can reach endpoints");
}

void ForwardSession::OnAttemptNotRun(std::string_view reason) {
  const bool may_try =
      retry_rule_->TakeResend(relay_->verdict() == AttemptVerdict::kNotRun);
  if (may_try &&
      (retry_rule_->MayHaveRun() ? Dispatch() : DispatchOrRefuse())) {
    return;
  }
  if (retry_rule_->MayHaveRun()) {
    FailAfterRun();
    return;
  }
  if (may_try && chooser_.HasOther(clearance_->tried())) {
    // All other endpoints are currently full.
    wait_->Join();
    return;
  }
  Refuse(core::ResultCode::kOverloaded, reason);
}

void ForwardSession::OnAttemptMayHaveRun() {
  resumption_->AwaitEndpoint(clearance_->tried(),
                             WhileAlive(&ForwardSession::RunAgainOrFail));
}

void ForwardSession::RunAgainOrFail() {
  if (retry_rule_->TakeRerun() && Dispatch()) {
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
                           relay_->verdict() == AttemptVerdict::kFailure &&
                           !transaction_->is_started();
  if (has_failure) {
    DeliverBufferedAnswer();
    return;
  }
  const bool is_malformed = last_end_ == AttemptEnd::kMalformedAnswer ||
                            last_end_ == AttemptEnd::kOversizedAnswer ||
                            (last_end_ == AttemptEnd::kAnswered &&
                             relay_->verdict() == AttemptVerdict::kInvalid);
  const bool is_cut = !is_malformed;
  Fail(is_cut ? core::ResultCode::kAnswerTruncated
              : core::ResultCode::kMalformedAnswer,
       "the endpoint's answer is incomplete or malformed");
}

void ForwardSession::DeliverBufferedAnswer() {
  relay_->DeliverBuffered();
  End(relay_->verdict() == AttemptVerdict::kSuccess ? "answered"
                                                    : "endpoint_failure");
}

core::Duration ForwardSession::RetryAfter() {
  return context_->load_control_enabled
             ? PacedRetryDelay(context_, request_, chooser_.pool(),
                               wait_->Item())
             : RandomRetryDelay(context_->random);
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
  if (!execution_.PromiseNotRun()) {
    Fail(core::ResultCode::kOutcomeUnknown, core::MessageOf(status));
    return;
  }
  transaction_->Respond(context_->caller_protocol->EncodeError(status));
  ++context_->metrics->Counter("forward_refusals");
  End(core::Describe(core::CodeOf(status)).name, true);
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

void ForwardSession::OnHopeless(core::Duration retry_after) {
  Refuse(core::ResultCode::kOverloaded,
         "the request can't start within its latency objective", retry_after);
}

void ForwardSession::OnDeadline() {
  if (retry_rule_->MayHaveRun()) {
    Fail(core::ResultCode::kDeadlineExceeded, "the deadline has passed");
    return;
  }
  Refuse(core::ResultCode::kDeadlineTooShort,
         "no endpoint became free before the deadline");
}

void ForwardSession::Interrupt(core::TimePoint stop_began_at) {
  const bool has_sent = attempt_ != nullptr && attempt_->is_active();
  RecordInterrupted(*context_, request_, *relay_,
                    has_sent ? attempt_.get() : nullptr, stop_began_at);
  if (retry_rule_->MayHaveRun()) {
    Fail(core::ResultCode::kOutcomeUnknown, "the host shuts down");
    return;
  }
  Refuse(core::ResultCode::kStopping, "the host shuts down",
         core::Duration::zero());
}

void ForwardSession::RefuseIfTooLate() {
  if (attempt_ == nullptr || !attempt_->is_active()) {
    EndIfTooLate();
  }
}

void ForwardSession::OnQueueTimeout() {
  Refuse(core::ResultCode::kOverloaded, "every endpoint is full");
}

void ForwardSession::OnCallerGone() {
  End("caller_gone");
}

void ForwardSession::End(std::string_view outcome, bool is_promised_not_run) {
  if (has_ended_) {
    return;
  }
  has_ended_ = true;
  context_->active_requests.Remove(this);
  resumption_->Cancel();
  clearance_->Cancel();
  LeaveQueue();
  deadline_timer_.reset();
  if (attempt_ != nullptr) {
    attempt_->Cancel();
  }
  RecordRequestEnd(*context_, request_, *relay_,
                   {.outcome = outcome,
                    .is_promised_not_run = is_promised_not_run,
                    .execution = execution_.state(),
                    .attempt = attempt_.get(),
                    .prompt_source = prompt_source_,
                    .sends = clearance_->sends(),
                    .runs = retry_rule_->runs()});
  // The freed slot may allow queued requests to start. This is posted to the
  // event loop because this session may be in a callback.
  context_->loop->Post([self = std::exchange(self_, nullptr),
                        context = context_]() { context->waiting->Serve(); });
}

}  // namespace wasabi::forwarding
