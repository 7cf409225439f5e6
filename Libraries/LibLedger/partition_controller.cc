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
// Room for the dispatcher to report its own timeout first.
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
      open_backoff_(core::milliseconds(100), core::seconds(2), options.writer) {
}

PartitionController::~PartitionController() {
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
  last_tick_at_ = dependencies_.scheduler->Now();
  CallAfter(kTickInterval, &PartitionController::Tick);
  FindStart();
}

void PartitionController::FindStart() {
  const core::Duration reach =
      options_.key_lifetime + 2 * options_.clock_tolerance;
  const int64_t oldest_ms =
      dependencies_.wall_clock() - core::ToMilliseconds(reach);
  StreamStartFinder::Find(
      dependencies_.log, StreamOf(options_.partition), oldest_ms,
      [weak = weak_from_this()](const absl::StatusOr<StreamStart>& start) {
        const auto it = weak.lock();
        if (it == nullptr) {
          return;
        }
        it->is_start_failing_ = !start.ok();
        if (start.ok()) {
          it->StartFollower(*start);
        } else {
          it->CallAfter(it->open_backoff_.Next(),
                        &PartitionController::FindStart);
        }
      });
}

void PartitionController::StartFollower(const StreamStart& start) {
  open_at_ = start.end;
  if (start.from > 0) {
    state_.NoteForgotten();
  }
  platform::LogFollowerOptions options;
  options.stream = StreamOf(options_.partition);
  options.poll_wait = options_.poll_wait;
  options.seed = options_.writer;
  platform::LogFollowerHandlers handlers;
  handlers.on_page = [this](const LogPage& page) { OnPage(page); };
  handlers.on_forgotten = [this](Offset, Offset) { state_.NoteForgotten(); };
  handlers.on_event = [this](EventCode code, std::string_view detail) {
    if (code == EventCode::kPlatformUp) {
      up_since_ = dependencies_.scheduler->Now();
    }
    Report(code, "", detail);
  };
  follower_ = platform::LogFollower::Create(
      dependencies_.log, dependencies_.scheduler, options, std::move(handlers));
  follower_->Start(start.from);
  if (start.from >= start.end) {
    BecomeOpen();
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
  pages_until_current_ = std::max(pages_until_current_ - 1, 0);
  if (!is_open_ && follower_->next() >= open_at_) {
    BecomeOpen();
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
    NoteForeignWriter(group->wall_ms);
  }
  const auto visit = [this, writer](const LedgerRecord& it,
                                    RecordEffect effect) {
    OnEffect(it, effect, writer);
  };
  if (state_.Apply(*group, now, visit)) {
    writer_->OnReadBack(group->stamp);
  }
}

void PartitionController::NoteForeignWriter(int64_t wall_ms) {
  const int64_t tolerance_ms = core::ToMilliseconds(options_.clock_tolerance);
  const int64_t age_ms = dependencies_.wall_clock() - wall_ms - tolerance_ms;
  const core::TimePoint written_at =
      dependencies_.scheduler->Now() -
      core::milliseconds(std::max<int64_t>(age_ms, 0));
  foreign_seen_at_ =
      has_foreign_ ? std::max(foreign_seen_at_, written_at) : written_at;
  has_foreign_ = true;
}

void PartitionController::OnEffect(const LedgerRecord& record,
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
      OnEnded(record, writer);
      return;
    case RecordEffect::kNothing:
      return;
  }
}

void PartitionController::BecomeOpen() {
  is_open_ = true;
  Report(EventCode::kPartitionOpened, "",
         fmt::format("partition={} next={} keys={}", options_.partition,
                     follower_->next(), state_.size()));
  const core::TimePoint now = dependencies_.scheduler->Now();
  for (HeldCall& held : std::exchange(held_calls_, {})) {
    held.call.deadline_ms = core::ToMilliseconds(held.deadline - now);
    Submit(held.call, std::move(held.callback));
  }
}

void PartitionController::Submit(const LedgerCall& call, Callback callback) {
  if (is_closing_) {
    Answer(callback, ElsewhereOutcome());
    return;
  }
  if (!is_open_) {
    Hold(call, std::move(callback));
    return;
  }
  const LedgerKey key = call.ledger_key();
  const KeyEntry* entry = state_.Find(key);
  if (entry != nullptr && !entry->HasContent(call.content_digest)) {
    Answer(callback, MakeOutcome(ResultCode::kKeyReused));
    return;
  }
  if (entry != nullptr && entry->is_final) {
    Answer(callback, entry->outcome);
    return;
  }
  const auto it = calls_.find(key);
  if (it != calls_.end()) {
    Join(&it->second, call, std::move(callback));
    return;
  }
  if (entry != nullptr) {
    Follow(call, std::move(callback));
    return;
  }
  SubmitNew(call, std::move(callback));
}

void PartitionController::Hold(const LedgerCall& call, Callback callback) {
  if (is_start_failing_) {
    Answer(callback, UnknownForNow());
    return;
  }
  const core::TimePoint now = dependencies_.scheduler->Now();
  const core::Duration deadline = core::milliseconds(call.deadline_ms);
  const core::Duration patience = std::min(deadline, options_.open_wait);
  held_calls_.push_back(
      {call, std::move(callback), now + deadline, now + patience});
  CallAfter(patience, &PartitionController::GiveUpHeldCalls);
}

void PartitionController::GiveUpHeldCalls() {
  // An earlier call with the same key may have run, which can't be known
  // before the stream is folded.
  const core::TimePoint now = dependencies_.scheduler->Now();
  std::vector<HeldCall> kept;
  for (HeldCall& held : std::exchange(held_calls_, {})) {
    if (held.give_up_at <= now) {
      Answer(held.callback, UnknownForNow());
    } else {
      kept.push_back(std::move(held));
    }
  }
  held_calls_ = std::move(kept);
}

void PartitionController::SubmitNew(const LedgerCall& call, Callback callback) {
  const ResultCode refusal = RefusalOf(call);
  if (refusal != ResultCode::kOk) {
    Answer(callback, NotRunOutcome(refusal));
    return;
  }
  if (IsTooOld(call.key)) {
    Answer(callback, MakeOutcome(ResultCode::kOutcomeUnknown));
    return;
  }
  const LedgerKey key = call.ledger_key();
  Call& it = calls_[key];
  it.call = call;
  it.attempt = next_attempt_++;
  Join(&it, call, std::move(callback));
  LedgerRecord intent;
  intent.kind = LedgerRecordKind::kIntent;
  intent.key = key;
  intent.attempt = it.attempt;
  intent.content_digest = call.content_digest;
  writer_->Add(std::move(intent));
}

ResultCode PartitionController::RefusalOf(const LedgerCall& call) const {
  if (call.deadline_ms <= 0) {
    return ResultCode::kDeadlineTooShort;
  }
  if (!follower_->is_up() || writer_->is_backing_off()) {
    return ResultCode::kPlatformUnavailable;
  }
  const bool is_full = writer_->queued() >= options_.max_queued ||
                       state_.size() + calls_.size() >= options_.max_keys;
  return is_full ? ResultCode::kOverloaded : ResultCode::kOk;
}

bool PartitionController::IsTooOld(const std::string& key) const {
  const std::optional<int64_t> created_ms = CreationTimeOf(key);
  if (!created_ms) {
    return false;
  }
  const int64_t tolerance_ms = core::ToMilliseconds(options_.clock_tolerance);
  const int64_t lifetime_ms = core::ToMilliseconds(options_.key_lifetime);
  const int64_t age_ms = dependencies_.wall_clock() - *created_ms;
  return *created_ms - tolerance_ms < state_.complete_since_ms() ||
         age_ms > lifetime_ms - tolerance_ms;
}

void PartitionController::Follow(const LedgerCall& call, Callback callback) {
  const LedgerKey key = call.ledger_key();
  Call& it = calls_[key];
  it.call = call;
  it.stage = Stage::kFollowing;
  Join(&it, call, std::move(callback));
  CheckUnknownLater(key);
}

void PartitionController::Join(Call* it,
                               const LedgerCall& call,
                               Callback callback) {
  if (it->call.content_digest != call.content_digest) {
    Answer(callback, MakeOutcome(ResultCode::kKeyReused));
    return;
  }
  const bool is_answer_due =
      it->stage == Stage::kRecording &&
      dependencies_.scheduler->Now() >= it->ended_at + options_.record_wait;
  if (is_answer_due) {
    Answer(callback, it->result);
    return;
  }
  const uint64_t id = next_waiter_++;
  it->waiters.push_back({id, std::move(callback)});
  CallAfter(core::milliseconds(call.deadline_ms),
            &PartitionController::OnWaiterDeadline, call.ledger_key(), id);
}

void PartitionController::OnWaiterDeadline(const LedgerKey& key,
                                           uint64_t waiter_id) {
  const auto it = calls_.find(key);
  if (it == calls_.end()) {
    return;
  }
  std::list<Waiter>& waiters = it->second.waiters;
  const auto waiter = std::find_if(waiters.begin(), waiters.end(),
                                   [waiter_id](const Waiter& candidate) {
                                     return candidate.id == waiter_id;
                                   });
  if (waiter == waiters.end()) {
    return;
  }
  const Callback callback = std::move(waiter->callback);
  waiters.erase(waiter);
  const bool is_last_of_queued =
      waiters.empty() && it->second.stage == Stage::kQueued;
  if (is_last_of_queued && writer_->RemoveIntent(it->second.attempt)) {
    Answer(callback, NotRunOutcome(ResultCode::kDeadlineTooShort));
    Erase(key);
    return;
  }
  Answer(callback,
         MakeOutcome(ResultCode::kDeadlineExceeded, options_.retry_after));
}

void PartitionController::OnIntentSent(const LedgerRecord& intent) {
  Call* it = FindAttempt(intent.key, intent.attempt);
  if (it != nullptr) {
    it->stage = Stage::kAppending;
    it->sent_at = dependencies_.scheduler->Now();
    Report(EventCode::kIntentAppended, it->call.request_id.value(),
           intent.key.key);
  }
}

void PartitionController::OnIntentFailed(const LedgerRecord& intent,
                                         const absl::Status& status) {
  Call* it = FindAttempt(intent.key, intent.attempt);
  if (it == nullptr) {
    return;
  }
  if (core::CodeOf(status) == ResultCode::kPlatformUnavailable) {
    AnswerWaiters(it, NotRunOutcome(ResultCode::kPlatformUnavailable));
    Erase(intent.key);
    return;
  }
  // The intent may stand in the stream. A void settles the key: it counts if
  // the intent does not, and otherwise OnIntentWon ends the call as not run.
  it->stage = Stage::kAbandoned;
  AnswerWaiters(it, UnknownForNow());
  LedgerRecord record;
  record.kind = LedgerRecordKind::kVoid;
  record.key = intent.key;
  record.attempt = intent.attempt;
  writer_->Add(std::move(record));
}

void PartitionController::OnIntentWon(const LedgerRecord& intent) {
  Call* it = FindAttempt(intent.key, intent.attempt);
  if (it == nullptr) {
    return;
  }
  Report(EventCode::kIntentWon, it->call.request_id.value(), intent.key.key);
  const bool is_late =
      dependencies_.scheduler->Now() > it->sent_at + options_.dispatch_window;
  if (it->stage == Stage::kAbandoned || it->waiters.empty() || is_late) {
    Report(EventCode::kCallVoided, it->call.request_id.value(), intent.key.key);
    RecordEnd(intent.key, MakeOutcome(ResultCode::kNotRun));
    return;
  }
  Run(intent.key);
}

void PartitionController::OnIntentLost(const LedgerRecord& intent) {
  Call* it = FindAttempt(intent.key, intent.attempt);
  if (it == nullptr) {
    return;
  }
  Report(EventCode::kIntentLost, it->call.request_id.value(), intent.key.key);
  const KeyEntry* entry = state_.Find(intent.key);
  if (!entry->HasContent(it->call.content_digest)) {
    AnswerWaiters(it, MakeOutcome(ResultCode::kKeyReused));
    Erase(intent.key);
    return;
  }
  if (entry->is_final) {
    AnswerWaiters(it, entry->outcome);
    Erase(intent.key);
    return;
  }
  if (is_closing_) {
    AnswerWaiters(it, ElsewhereOutcome());
    Erase(intent.key);
    return;
  }
  it->stage = Stage::kFollowing;
  CheckUnknownLater(intent.key);
}

void PartitionController::Run(const LedgerKey& key) {
  Call& it = calls_.at(key);
  it.stage = Stage::kRunning;
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
  Call* it = FindAttempt(key, attempt);
  if (it != nullptr && it->stage == Stage::kRunning) {
    RecordEnd(key, OutcomeOf(result));
  }
}

void PartitionController::RecordEnd(const LedgerKey& key,
                                    const LedgerOutcome& outcome) {
  Call& it = calls_.at(key);
  it.stage = Stage::kRecording;
  it.result = outcome;
  it.ended_at = dependencies_.scheduler->Now();
  LedgerRecord record;
  record.kind = LedgerRecordKind::kDone;
  record.key = key;
  record.attempt = it.attempt;
  record.outcome = outcome;
  if (outcome.body.size() > options_.max_result_bytes) {
    record.outcome.body.clear();
    record.outcome.is_body_kept = false;
  }
  CallAfter(options_.record_wait, &PartitionController::AnswerUnrecorded, key,
            it.attempt);
  writer_->Add(std::move(record));
}

void PartitionController::AnswerUnrecorded(const LedgerKey& key,
                                           uint64_t attempt) {
  Call* it = FindAttempt(key, attempt);
  if (it != nullptr && it->stage == Stage::kRecording) {
    AnswerWaiters(it, it->result);
  }
}

void PartitionController::OnEnded(const LedgerRecord& record, uint64_t writer) {
  const LedgerOutcome& outcome = state_.Find(record.key)->outcome;
  const auto it = calls_.find(record.key);
  if (it == calls_.end()) {
    return;
  }
  Call& call = it->second;
  const bool is_unknown = outcome.result_code() == ResultCode::kOutcomeUnknown;
  Report(is_unknown ? EventCode::kOutcomeUnknown : EventCode::kOutcomeRecorded,
         call.call.request_id.value(), record.key.key);
  const bool is_own_result = writer == options_.writer &&
                             record.kind == LedgerRecordKind::kDone &&
                             call.stage == Stage::kRecording;
  if (!state_.Find(record.key)->HasContent(call.call.content_digest)) {
    AnswerWaiters(&call, MakeOutcome(ResultCode::kKeyReused));
  } else {
    AnswerWaiters(&call, is_own_result ? call.result : outcome);
  }
  Erase(record.key);
}

void PartitionController::CheckUnknownLater(const LedgerKey& key) {
  const KeyEntry* entry = state_.Find(key);
  const core::Duration age = dependencies_.scheduler->Now() - entry->seen_at;
  CallAfter(options_.unknown_grace - age, &PartitionController::DeclareUnknown,
            key);
}

void PartitionController::DeclareUnknown(const LedgerKey& key) {
  const auto it = calls_.find(key);
  const KeyEntry* entry = state_.Find(key);
  const bool is_pending = it != calls_.end() && entry != nullptr &&
                          it->second.stage == Stage::kFollowing &&
                          !entry->is_final;
  if (!is_pending) {
    return;
  }
  if (it->second.waiters.empty()) {
    Erase(key);
    return;
  }
  if (!IsCurrent()) {
    CallAfter(options_.settle_timeout, &PartitionController::DeclareUnknown,
              key);
    return;
  }
  LedgerRecord record;
  record.kind = LedgerRecordKind::kUnknown;
  record.key = key;
  writer_->Add(std::move(record));
}

bool PartitionController::IsCurrent() const {
  const core::TimePoint now = dependencies_.scheduler->Now();
  return follower_->is_up() && pages_until_current_ == 0 &&
         now >= up_since_ + options_.settle_timeout;
}

LedgerOutcome PartitionController::NotRunOutcome(ResultCode code) const {
  if (MayHaveMissedRecords()) {
    return UnknownForNow();
  }
  return MakeOutcome(code, options_.retry_after);
}

LedgerOutcome PartitionController::UnknownForNow() const {
  return MakeOutcome(ResultCode::kOutcomeUnknown, options_.retry_after);
}

LedgerOutcome PartitionController::ElsewhereOutcome() const {
  return MakeOutcome(ResultCode::kWrongOwner, options_.retry_after);
}

bool PartitionController::MayHaveMissedRecords() const {
  const core::TimePoint now = dependencies_.scheduler->Now();
  const bool is_paused = now > last_tick_at_ + options_.pause_threshold;
  const bool has_other_owner =
      has_foreign_ && now < foreign_seen_at_ + options_.foreign_quiet;
  return !is_open_ || pages_until_current_ > 0 || is_paused || has_other_owner;
}

void PartitionController::Answer(const Callback& callback,
                                 const LedgerOutcome& outcome) {
  dependencies_.scheduler->CallAfter(
      core::Duration::zero(), [callback, outcome] { callback(outcome); });
}

void PartitionController::AnswerWaiters(Call* it,
                                        const LedgerOutcome& outcome) {
  for (const Waiter& waiter : std::exchange(it->waiters, {})) {
    Answer(waiter.callback, outcome);
  }
}

void PartitionController::Erase(const LedgerKey& key) {
  calls_.erase(key);
}

PartitionController::Call* PartitionController::FindAttempt(
    const LedgerKey& key,
    uint64_t attempt) {
  const auto it = calls_.find(key);
  const bool is_same = it != calls_.end() && it->second.attempt == attempt;
  return is_same ? &it->second : nullptr;
}

void PartitionController::Tick() {
  const core::TimePoint now = dependencies_.scheduler->Now();
  if (now > last_tick_at_ + options_.pause_threshold) {
    pages_until_current_ = 2;
  }
  last_tick_at_ = now;
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
  for (const HeldCall& held : std::exchange(held_calls_, {})) {
    Answer(held.callback, ElsewhereOutcome());
  }
  std::vector<LedgerKey> followed;
  for (auto& [key, call] : calls_) {
    if (call.stage == Stage::kFollowing) {
      AnswerWaiters(&call, ElsewhereOutcome());
      followed.push_back(key);
    }
  }
  for (const LedgerKey& key : followed) {
    Erase(key);
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
  if (follower_ != nullptr) {
    follower_->Stop();
  }
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
