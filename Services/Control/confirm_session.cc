#include "Services/Control/confirm_session.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::control {

namespace {

using core::MakeRefusal;
using core::MakeStatus;
using core::ResultCode;

constexpr core::Duration kCheckPeriod = std::chrono::milliseconds(20);
// Delay before an append is repeated if its response was lost and its record
// has not been read back.
constexpr core::Duration kAppendRetryDelay = std::chrono::seconds(1);
constexpr core::Duration kRetryAfter = std::chrono::seconds(2);
constexpr std::string_view kStream = "configuration";

}  // namespace

InForceCount CountInForce(const membership::MemberTable& table,
                          int64_t offset) {
  InForceCount count;
  for (const membership::Member& member : table.members()) {
    if (member.state == membership::MemberState::kLeaving) {
      continue;
    }
    ++count.total;
    if (member.applied_offset >= offset) {
      ++count.applied;
    } else {
      count.missing.push_back(member.id.value());
    }
  }
  return count;
}

std::shared_ptr<ConfirmSession> ConfirmSession::Create(
    std::shared_ptr<const ConfirmContext> context,
    std::string plan_id,
    std::string record) {
  return std::shared_ptr<ConfirmSession>(new ConfirmSession(
      std::move(context), std::move(plan_id), std::move(record)));
}

ConfirmSession::ConfirmSession(std::shared_ptr<const ConfirmContext> context,
                               std::string plan_id,
                               std::string record)
    : context_(std::move(context)),
      plan_id_(std::move(plan_id)),
      record_(std::move(record)) {}

void ConfirmSession::AddCallback(Callback callback) {
  callbacks_.push_back(std::move(callback));
}

void ConfirmSession::Start() {
  self_ = shared_from_this();
  started_at_ = context_->loop->Now();
  timer_ = context_->loop->NewTimer([this] { Check(); });
  timer_->StartRepeating(kCheckPeriod);
  Append();
}

void ConfirmSession::Append() {
  is_appending_ = true;
  last_append_at_ = context_->loop->Now();
  context_->log->Append(std::string(kStream), record_,
                        [self = shared_from_this()](
                            const absl::StatusOr<platform::Offset>& answer) {
                          self->OnAppended(answer);
                        });
}

void ConfirmSession::OnAppended(
    const absl::StatusOr<platform::Offset>& answer) {
  is_appending_ = false;
  if (self_ == nullptr) {
    return;
  }
  if (answer.ok()) {
    may_be_stored_ = true;
    appended_offset_ = *answer;
    Check();
    return;
  }
  if (core::CodeOf(answer.status()) == ResultCode::kAppendUncertain) {
    may_be_stored_ = true;
    return;
  }
  if (!may_be_stored_) {
    Finish(MakeRefusal(
        ResultCode::kPlatformUnavailable,
        "the platform's log did not accept the record; nothing has changed",
        core::RetryAfterOf(answer.status()).value_or(kRetryAfter)));
  }
}

void ConfirmSession::Check() {
  const std::shared_ptr<ConfirmSession> self = shared_from_this();
  if (outcome_ || CheckOutcome()) {
    CheckInForce();
    return;
  }
  if (self_ == nullptr) {
    return;
  }
  const core::TimePoint now = context_->loop->Now();
  if (now - started_at_ > context_->confirm_timeout) {
    OnConfirmTimeout();
    return;
  }
  if (!is_appending_ && !appended_offset_ &&
      now - last_append_at_ > kAppendRetryDelay) {
    Append();
  }
}

// Returns true if the plan's record was read back. Finishes the session if the
// fold is past the offset that the log assigned and has not seen the record.
bool ConfirmSession::CheckOutcome() {
  const intent::ConfigurationFold& fold = context_->follower->tracker().fold();
  outcome_ = fold.OutcomeOf(plan_id_);
  if (outcome_) {
    read_back_at_ = context_->loop->Now();
    return true;
  }
  if (appended_offset_ && *appended_offset_ <= fold.revision()) {
    Finish(MakeStatus(
        ResultCode::kLogWentBackwards,
        fmt::format(
            "the log assigned offset {}, but offset {} was already applied",
            *appended_offset_, fold.revision())));
  }
  return false;
}

void ConfirmSession::CheckInForce() {
  if (!outcome_->is_applied) {
    Finish(MakeStatus(
        ResultCode::kConflict,
        fmt::format("an item of plan {} has changed since the plan was made",
                    plan_id_)));
    return;
  }
  const InForceCount count =
      CountInForce(*context_->members(), outcome_->offset);
  if (count.applied == count.total) {
    Finish(absl::OkStatus(), count);
    return;
  }
  const core::Duration waited = context_->loop->Now() - *read_back_at_;
  if (waited >= context_->in_force_timeout) {
    Finish(
        MakeStatus(
            ResultCode::kNotInForceEverywhere,
            fmt::format(
                "in force on {} of {} hosts; the others have yet to apply it",
                count.applied, count.total)),
        count);
  }
}

void ConfirmSession::OnConfirmTimeout() {
  if (appended_offset_) {
    Finish(MakeRefusal(
        ResultCode::kAppendUncertain,
        fmt::format(
            "recorded at offset {}, but not read back yet; the status of "
            "the plan will show whether it was applied",
            *appended_offset_),
        kRetryAfter));
    return;
  }
  Finish(MakeRefusal(ResultCode::kAppendUncertain,
                     "the log did not answer; the record may have been stored. "
                     "The status of the plan will show the outcome later, and "
                     "confirming again is safe",
                     kRetryAfter));
}

void ConfirmSession::Finish(absl::Status status, InForceCount in_force) {
  const std::shared_ptr<ConfirmSession> self = std::move(self_);
  if (self == nullptr) {
    return;
  }
  timer_->Stop();
  ConfirmResult result;
  result.status = std::move(status);
  result.in_force = std::move(in_force);
  if (outcome_) {
    result.offset = outcome_->offset;
  }
  for (const Callback& callback : callbacks_) {
    callback(result);
  }
  callbacks_.clear();
}

}  // namespace wasabi::control
