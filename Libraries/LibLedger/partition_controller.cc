#include "LibLedger/partition_controller.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::ledger {

namespace {

using core::EventCode;
using core::ResultCode;
using platform::LogPage;
using platform::LogRecord;
using platform::Offset;

constexpr core::Duration kTickInterval = core::milliseconds(250);
// Lets the dispatcher report its own timeout before the controller's timer
// expires.
constexpr core::Duration kDispatchMargin = core::seconds(1);

LedgerOutcome OutcomeOf(const DispatchResult& result) {
  switch (result.kind) {
    case DispatchResult::Kind::kAnswered: {
      LedgerOutcome outcome = MakeOutcome(ResultCode::kOk);
      outcome.http_status = result.http_status;
      outcome.body = result.body;
      return outcome;
    }
    case DispatchResult::Kind::kNotRun:
      return MakeOutcome(ResultCode::kNotRun);
    case DispatchResult::Kind::kUnknown:
      break;
  }
  return MakeOutcome(ResultCode::kOutcomeUnknown);
}

}  // namespace

std::shared_ptr<PartitionController> PartitionController::Create(
    const PartitionDependencies& dependencies,
    const PartitionOptions& options) {
  return std::shared_ptr<PartitionController>(
      new PartitionController(dependencies, options));
}

PartitionController::PartitionController(
    const PartitionDependencies& dependencies,
    const PartitionOptions& options)
    : dependencies_(dependencies),
      options_(options),
      state_(options.key_lifetime),
      calls_(dependencies.scheduler),
      freshness_(options.freshness, dependencies.scheduler->Now()),
      open_backoff_(core::milliseconds(100), core::seconds(2), options.writer) {
}

PartitionController::~PartitionController() {
  StopReadingAndWriting();
}

void PartitionController::StopReadingAndWriting() {
  if (follower_ != nullptr) {
    follower_->Stop();
  }
  if (writer_ != nullptr) {
    writer_->Stop();
  }
}

template <typename Method, typename... Arguments>
void PartitionController::CallAfter(core::Duration delay,
                                    Method method,
                                    Arguments... arguments) {
  dependencies_.scheduler->CallAfter(
      delay, [weak = weak_from_this(), method, arguments...] {
        if (const auto it = weak.lock()) {
          ((*it).*method)(arguments...);
        }
      });
}

void PartitionController::Open() {
  GroupWriterOptions options;
  options.appender.stream = StreamOf(options_.partition);
  options.appender.writer = options_.writer;
  options.appender.settle_timeout = options_.settle_timeout;
  options.append_interval = options_.append_interval;
  options.append_burst = options_.append_burst;
  options.group_records = options_.group_records;
  options.group_bytes = options_.group_bytes;
  GroupWriterHandlers handlers;
  handlers.on_intent_sent = [this](const LedgerRecord& intent) {
    OnIntentSent(intent);
  };
  handlers.on_intent_failed = [this](const LedgerRecord& intent,
                                     const absl::Status& status) {
    OnIntentFailed(intent, status);
  };
  writer_ = GroupWriter::Create(dependencies_.log, dependencies_.scheduler,
                                dependencies_.wall_clock, options, handlers);
  CallAfter(kTickInterval, &PartitionController::Tick);
  FindStreamStart();
}

void PartitionController::FindStreamStart() {
  const core::Duration reach =
      options_.key_lifetime + 2 * options_.freshness.clock_tolerance;
  const int64_t cutoff_ms =
      dependencies_.wall_clock() - core::ToMilliseconds(reach);
  StreamStartFinder::Find(
      dependencies_.log, StreamOf(options_.partition), cutoff_ms,
      [weak = weak_from_this()](const absl::StatusOr<StreamStart>& start) {
        const auto it = weak.lock();
        if (it == nullptr || it->is_closing_) {
          return;
        }
        it->has_start_search_failed_ = !start.ok();
        if (start.ok()) {
          it->StartFollower(*start);
        } else {
          it->CallAfter(it->open_backoff_.Next(),
                        &PartitionController::FindStreamStart);
        }
      });
}

void PartitionController::StartFollower(const StreamStart& start) {
  initial_end_ = start.end;
  if (start.from > 0) {
    state_.MarkGap();
  }
  platform::LogFollowerOptions options;
  options.stream = StreamOf(options_.partition);
  options.poll_wait = options_.poll_wait;
  options.seed = options_.writer;
  platform::LogFollowerHandlers handlers;
  handlers.on_page = [this](const LogPage& page) { OnPage(page); };
  handlers.on_records_truncated = [this](Offset, Offset) { state_.MarkGap(); };
  handlers.on_event = [this](EventCode code, std::string_view detail) {
    if (code == EventCode::kPlatformUp) {
      freshness_.OnPlatformUp(dependencies_.scheduler->Now());
    }
    Report(code, "", detail);
  };
  follower_ = platform::LogFollower::Create(
      dependencies_.log, dependencies_.scheduler, options, std::move(handlers));
  follower_->Start(start.from);
  if (start.from >= start.end) {
    FinishOpening();
  }
}

void PartitionController::OnPage(const LogPage& page) {
  const auto keep_alive = shared_from_this();
  for (const LogRecord& record : page.records) {
    FoldRecord(record);
  }
  if (follower_->next() < page.end) {
    return;
  }
  freshness_.OnCaughtUp();
  if (!is_open_ && follower_->next() >= initial_end_) {
    FinishOpening();
  }
}

void PartitionController::FoldRecord(const LogRecord& record) {
  const absl::StatusOr<LedgerGroup> group = DecodeGroup(record.body);
  if (!group.ok()) {
    Report(EventCode::kRecordSkipped, "",
           fmt::format("partition={} offset={}", options_.partition,
                       record.offset));
    return;
  }
  const uint64_t writer = group->stamp.writer;
  const core::TimePoint now = dependencies_.scheduler->Now();
  if (writer != options_.writer) {
    freshness_.OnOtherWriterGroup(now, dependencies_.wall_clock(),
                                  group->wall_ms);
  }
  const auto visit = [this, writer](const LedgerRecord& it,
                                    RecordEffect effect) {
    OnRecordApplied(it, effect, writer);
  };
  if (state_.Apply(*group, now, visit)) {
    writer_->OnReadBack(group->stamp);
  }
}

void PartitionController::OnRecordApplied(const LedgerRecord& record,
                                          RecordEffect effect,
                                          uint64_t writer) {
  const bool is_own = writer == options_.writer;
  switch (effect) {
    case RecordEffect::kIntentWon:
      if (is_own) {
        OnIntentWon(record);
      }
      return;
    case RecordEffect::kIntentLost:
      if (is_own) {
        OnIntentLost(record);
      }
      return;
    case RecordEffect::kEnded:
      OnOutcomeFinal(record, writer);
      return;
    case RecordEffect::kNothing:
      return;
  }
}

void PartitionController::FinishOpening() {
  is_open_ = true;
  Report(EventCode::kPartitionOpened, "",
         fmt::format("partition={} next={} keys={}", options_.partition,
                     follower_->next(), state_.size()));
  ReportShortRetention();
  const core::TimePoint now = dependencies_.scheduler->Now();
  for (HeldCall& held : held_calls_.TakeAll()) {
    held.call.deadline_ms = core::ToMilliseconds(held.deadline - now);
    Submit(held.call, std::move(held.callback));
  }
}

void PartitionController::ReportShortRetention() {
  const int64_t reach_ms = core::ToMilliseconds(options_.key_lifetime);
  if (state_.complete_since_ms() > dependencies_.wall_clock() - reach_ms) {
    Report(EventCode::kRecordsTruncated, "",
           fmt::format("partition={} complete_since_ms={}", options_.partition,
                       state_.complete_since_ms()));
  }
}

void PartitionController::Submit(const LedgerCall& call, Callback callback) {
  if (is_closing_) {
    calls_.Answer(callback, WrongOwnerOutcome());
    return;
  }
  if (!is_open_) {
    Hold(call, std::move(callback));
    return;
  }
  const LedgerKey key = call.ledger_key();
  const KeyEntry* entry = state_.Find(key);
  if (entry != nullptr && !entry->MatchesDigest(call.content_digest)) {
    calls_.Answer(callback, MakeOutcome(ResultCode::kKeyReused));
    return;
  }
  if (entry != nullptr && entry->is_final) {
    calls_.Answer(callback, entry->outcome);
    return;
  }
  CallInProgress* it = calls_.Find(key);
  if (it != nullptr) {
    Join(it, call, std::move(callback));
    return;
  }
  if (entry != nullptr) {
    FollowOtherWriter(call, std::move(callback));
    return;
  }
  SubmitNew(call, std::move(callback));
}

void PartitionController::Hold(const LedgerCall& call, Callback callback) {
  if (has_start_search_failed_) {
    calls_.Answer(callback, RetryableUnknownOutcome());
    return;
  }
  const core::TimePoint now = dependencies_.scheduler->Now();
  const core::Duration deadline = core::milliseconds(call.deadline_ms);
  const core::Duration patience = std::min(deadline, options_.open_wait);
  held_calls_.Add({call, std::move(callback), now + deadline, now + patience});
  CallAfter(patience, &PartitionController::TimeOutHeldCalls);
}

void PartitionController::TimeOutHeldCalls() {
  // An earlier call with the same key may have run. This host cannot rule that
  // out before it has applied the stream.
  for (const HeldCall& held :
       held_calls_.TakeExpired(dependencies_.scheduler->Now())) {
    calls_.Answer(held.callback, RetryableUnknownOutcome());
  }
}

void PartitionController::SubmitNew(const LedgerCall& call, Callback callback) {
  const ResultCode refusal = RefusalOf(call);
  if (refusal != ResultCode::kOk) {
    calls_.Answer(callback, RefusalOutcome(refusal));
    return;
  }
  if (IsKeyTooOld(call.key)) {
    calls_.Answer(callback, MakeOutcome(ResultCode::kOutcomeUnknown));
    return;
  }
  CallInProgress& it = calls_.AddAttempt(call);
  Join(&it, call, std::move(callback));
  LedgerRecord intent;
  intent.kind = LedgerRecordKind::kIntent;
  intent.key = call.ledger_key();
  intent.attempt = it.attempt;
  intent.content_digest = call.content_digest;
  writer_->Add(std::move(intent));
}

ResultCode PartitionController::RefusalOf(const LedgerCall& call) const {
  if (call.deadline_ms <= 0) {
    return ResultCode::kDeadlineTooShort;
  }
  if (call.is_over_rate_limit) {
    return ResultCode::kOrganisationLimit;
  }
  if (!follower_->is_up() || writer_->is_backing_off()) {
    return ResultCode::kPlatformUnavailable;
  }
  const bool is_full =
      writer_->queued() >= options_.max_queued ||
      state_.size() + calls_.size() >= options_.max_keys ||
      calls_.body_bytes() + call.body.size() > options_.max_body_bytes;
  return is_full ? ResultCode::kOverloaded : ResultCode::kOk;
}

bool PartitionController::IsKeyTooOld(const std::string& key) const {
  const std::optional<int64_t> created_ms = CreationTimeOf(key);
  if (!created_ms) {
    return false;
  }
  const int64_t tolerance_ms =
      core::ToMilliseconds(options_.freshness.clock_tolerance);
  const int64_t lifetime_ms = core::ToMilliseconds(options_.key_lifetime);
  const int64_t age_ms = dependencies_.wall_clock() - *created_ms;
  return *created_ms - tolerance_ms < state_.complete_since_ms() ||
         age_ms > lifetime_ms - tolerance_ms;
}

void PartitionController::FollowOtherWriter(const LedgerCall& call,
                                            Callback callback) {
  CallInProgress& it = calls_.Add(call, CallStage::kFollowing);
  Join(&it, call, std::move(callback));
  ScheduleUnknownCheck(call.ledger_key());
}

void PartitionController::Join(CallInProgress* it,
                               const LedgerCall& call,
                               Callback callback) {
  if (it->call.content_digest != call.content_digest) {
    calls_.Answer(callback, MakeOutcome(ResultCode::kKeyReused));
    return;
  }
  const bool is_answer_due =
      it->stage == CallStage::kRecording &&
      dependencies_.scheduler->Now() >= it->ended_at + options_.record_wait;
  if (is_answer_due) {
    calls_.Answer(callback, it->result);
    return;
  }
  const uint64_t id = calls_.AddWaiter(it, std::move(callback));
  CallAfter(core::milliseconds(call.deadline_ms),
            &PartitionController::OnWaiterDeadline, call.ledger_key(), id);
}

void PartitionController::OnWaiterDeadline(const LedgerKey& key,
                                           uint64_t waiter_id) {
  CallInProgress* it = calls_.Find(key);
  if (it == nullptr) {
    return;
  }
  const std::optional<Callback> callback = calls_.RemoveWaiter(it, waiter_id);
  if (!callback) {
    return;
  }
  const bool is_last_of_queued =
      it->waiters.empty() && it->stage == CallStage::kQueued;
  if (is_last_of_queued && writer_->RemoveIntent(it->attempt)) {
    const LedgerOutcome outcome = RefusalOutcome(ResultCode::kDeadlineTooShort);
    calls_.Answer(*callback, outcome);
    calls_.Finish(key, outcome);
    return;
  }
  calls_.Answer(*callback, MakeOutcome(ResultCode::kDeadlineExceeded,
                                       options_.retry_after));
}

void PartitionController::OnIntentSent(const LedgerRecord& intent) {
  CallInProgress* it = calls_.FindAttempt(intent.key, intent.attempt);
  if (it != nullptr) {
    it->stage = CallStage::kAppending;
    it->sent_at = dependencies_.scheduler->Now();
    Report(EventCode::kIntentAppended, it->call.request_id.value(),
           intent.key.key);
    if (!options_.requires_read_back) {
      Run(intent.key);
    }
  }
}

void PartitionController::OnIntentFailed(const LedgerRecord& intent,
                                         const absl::Status& status) {
  CallInProgress* it = calls_.FindAttempt(intent.key, intent.attempt);
  if (it == nullptr) {
    return;
  }
  if (core::CodeOf(status) == ResultCode::kPlatformUnavailable) {
    calls_.Finish(intent.key, RefusalOutcome(ResultCode::kPlatformUnavailable));
    return;
  }
  // The intent may be in the stream. A void record resolves the key either way:
  // without the intent, the void makes the key kNotRun; with the intent,
  // OnIntentWon records the call as kNotRun.
  it->stage = CallStage::kAbandoned;
  calls_.AnswerWaiters(it, RetryableUnknownOutcome());
  LedgerRecord record;
  record.kind = LedgerRecordKind::kVoid;
  record.key = intent.key;
  record.attempt = intent.attempt;
  writer_->Add(std::move(record));
}

void PartitionController::OnIntentWon(const LedgerRecord& intent) {
  CallInProgress* it = calls_.FindAttempt(intent.key, intent.attempt);
  if (it == nullptr || !options_.requires_read_back) {
    return;
  }
  Report(EventCode::kIntentWon, it->call.request_id.value(), intent.key.key);
  const bool is_late =
      dependencies_.scheduler->Now() > it->sent_at + options_.dispatch_window;
  if (it->stage == CallStage::kAbandoned || it->waiters.empty() || is_late) {
    Report(EventCode::kCallVoided, it->call.request_id.value(), intent.key.key);
    RecordOutcome(intent.key, MakeOutcome(ResultCode::kNotRun));
    return;
  }
  Run(intent.key);
}

void PartitionController::OnIntentLost(const LedgerRecord& intent) {
  CallInProgress* it = calls_.FindAttempt(intent.key, intent.attempt);
  if (it == nullptr || !options_.requires_read_back) {
    return;
  }
  Report(EventCode::kIntentLost, it->call.request_id.value(), intent.key.key);
  const KeyEntry* entry = state_.Find(intent.key);
  if (!entry->MatchesDigest(it->call.content_digest)) {
    calls_.Finish(intent.key, MakeOutcome(ResultCode::kKeyReused));
    return;
  }
  if (entry->is_final) {
    calls_.Finish(intent.key, entry->outcome);
    return;
  }
  if (is_closing_) {
    calls_.Finish(intent.key, WrongOwnerOutcome());
    return;
  }
  it->stage = CallStage::kFollowing;
  ScheduleUnknownCheck(intent.key);
}

void PartitionController::Run(const LedgerKey& key) {
  CallInProgress& it = *calls_.Find(key);
  it.stage = CallStage::kRunning;
  const uint64_t attempt = it.attempt;
  Report(EventCode::kCallDispatched, it.call.request_id.value(), key.key);
  dependencies_.dispatcher->Dispatch(
      it.call, attempt, options_.max_call_duration,
      [weak = weak_from_this(), key, attempt](const DispatchResult& result) {
        if (const auto self = weak.lock()) {
          self->OnResult(key, attempt, result);
        }
      });
  CallAfter(options_.max_call_duration + kDispatchMargin,
            &PartitionController::OnResult, key, attempt, DispatchResult());
}

void PartitionController::OnResult(const LedgerKey& key,
                                   uint64_t attempt,
                                   const DispatchResult& result) {
  CallInProgress* it = calls_.FindAttempt(key, attempt);
  if (it != nullptr && it->stage == CallStage::kRunning) {
    RecordOutcome(key, OutcomeOf(result));
  }
}

void PartitionController::RecordOutcome(const LedgerKey& key,
                                        const LedgerOutcome& outcome) {
  CallInProgress& it = *calls_.Find(key);
  it.stage = CallStage::kRecording;
  it.result = outcome;
  it.ended_at = dependencies_.scheduler->Now();
  LedgerRecord record;
  record.kind = LedgerRecordKind::kDone;
  record.key = key;
  record.attempt = it.attempt;
  record.outcome = outcome;
  if (outcome.body.size() > options_.max_result_bytes) {
    record.outcome.body.clear();
    record.outcome.is_body_recorded = false;
  }
  CallAfter(options_.record_wait, &PartitionController::AnswerUnrecorded, key,
            it.attempt);
  writer_->Add(std::move(record));
}

void PartitionController::AnswerUnrecorded(const LedgerKey& key,
                                           uint64_t attempt) {
  CallInProgress* it = calls_.FindAttempt(key, attempt);
  if (it != nullptr && it->stage == CallStage::kRecording) {
    calls_.AnswerWaiters(it, it->result);
  }
}

void PartitionController::OnOutcomeFinal(const LedgerRecord& record,
                                         uint64_t writer) {
  const CallInProgress* it = calls_.Find(record.key);
  if (it == nullptr) {
    return;
  }
  const KeyEntry& entry = *state_.Find(record.key);
  const bool is_unknown =
      entry.outcome.result_code() == ResultCode::kOutcomeUnknown;
  Report(is_unknown ? EventCode::kOutcomeUnknown : EventCode::kOutcomeRecorded,
         it->call.request_id.value(), record.key.key);
  if (!entry.MatchesDigest(it->call.content_digest)) {
    calls_.Finish(record.key, MakeOutcome(ResultCode::kKeyReused));
    return;
  }
  const bool is_own_result = writer == options_.writer &&
                             record.kind == LedgerRecordKind::kDone &&
                             it->stage == CallStage::kRecording;
  const LedgerOutcome outcome = is_own_result ? it->result : entry.outcome;
  calls_.Finish(record.key, outcome);
}

void PartitionController::ScheduleUnknownCheck(const LedgerKey& key) {
  const KeyEntry* entry = state_.Find(key);
  const core::Duration age =
      dependencies_.scheduler->Now() - entry->first_applied_at;
  CallAfter(options_.unknown_grace - age, &PartitionController::DeclareUnknown,
            key);
}

void PartitionController::DeclareUnknown(const LedgerKey& key) {
  const CallInProgress* it = calls_.Find(key);
  const KeyEntry* entry = state_.Find(key);
  const bool is_pending = it != nullptr && entry != nullptr &&
                          it->stage == CallStage::kFollowing &&
                          !entry->is_final;
  if (!is_pending) {
    return;
  }
  if (it->waiters.empty()) {
    calls_.Finish(key, RetryableUnknownOutcome());
    return;
  }
  // Give other writers time to record outcomes that they could not append
  // during an outage of the log.
  const bool has_settle_time_passed =
      follower_->is_up() &&
      freshness_.HasSettleTimePassed(dependencies_.scheduler->Now());
  if (!has_settle_time_passed) {
    CallAfter(options_.settle_timeout, &PartitionController::DeclareUnknown,
              key);
    return;
  }
  LedgerRecord record;
  record.kind = LedgerRecordKind::kUnknown;
  record.key = key;
  writer_->Add(std::move(record));
}

LedgerOutcome PartitionController::RefusalOutcome(ResultCode code) const {
  if (freshness_.MayHaveMissedRecords(dependencies_.scheduler->Now())) {
    return RetryableUnknownOutcome();
  }
  return MakeOutcome(code, options_.retry_after);
}

LedgerOutcome PartitionController::RetryableUnknownOutcome() const {
  return MakeOutcome(ResultCode::kOutcomeUnknown, options_.retry_after);
}

LedgerOutcome PartitionController::WrongOwnerOutcome() const {
  return MakeOutcome(ResultCode::kWrongOwner, options_.retry_after);
}

void PartitionController::Tick() {
  const core::TimePoint now = dependencies_.scheduler->Now();
  freshness_.OnTick(now);
  state_.Expire(now);
  if (is_closing_) {
    FinishClose();
  }
  CallAfter(kTickInterval, &PartitionController::Tick);
}

void PartitionController::Close(std::function<void()> on_closed) {
  is_closing_ = true;
  on_closed_ = std::move(on_closed);
  close_deadline_ = dependencies_.scheduler->Now() + options_.close_timeout;
  for (const HeldCall& held : held_calls_.TakeAll()) {
    calls_.Answer(held.callback, WrongOwnerOutcome());
  }
  for (const LedgerKey& key : calls_.KeysIn(CallStage::kFollowing)) {
    calls_.Finish(key, WrongOwnerOutcome());
  }
  CallAfter(core::Duration::zero(), &PartitionController::FinishClose);
}

void PartitionController::FinishClose() {
  if (on_closed_ == nullptr) {
    return;
  }
  const bool is_done =
      calls_.empty() && (writer_ == nullptr || writer_->is_idle());
  if (!is_done && dependencies_.scheduler->Now() < close_deadline_) {
    return;
  }
  for (const LedgerKey& key : calls_.Keys()) {
    calls_.Finish(key, RetryableUnknownOutcome());
  }
  StopReadingAndWriting();
  const auto on_closed = std::exchange(on_closed_, nullptr);
  on_closed();
}

void PartitionController::Report(EventCode code,
                                 std::string_view request_id,
                                 std::string_view detail) {
  if (dependencies_.on_event) {
    dependencies_.on_event(code, request_id, detail);
  }
}

}  // namespace wasabi::ledger
