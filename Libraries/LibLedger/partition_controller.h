// The owner of one ledger partition: runs each call that may not be repeated
// at most once, and says "not run" only where that holds for good.
//
// A call is run in this order: append an intent, read it back, run the call if
// the intent is the first record of its key, append the end, read that back,
// answer. Two controllers of one partition, on hosts that disagree about the
// owner, are safe: the log's order decides whose intent counts.
//
// What a caller is told:
//  - the service's answer, once its record was read back. If the log fails for
//    longer than `record_wait` the answer is given without, and the controller
//    keeps trying to record it;
//  - kNotRun: recorded; no call with this key ever runs;
//  - kOutcomeUnknown without a retry time: recorded; the call may have run and
//    is never run again. With a retry time: this host can't tell; the same key
//    may be sent again safely;
//  - kPlatformUnavailable, kOverloaded, kDeadlineTooShort, kOrganisationLimit:
//  this request did not
//    run and will not; the key has no record and may be sent again. Where this
//    host may have missed records of another owner, kOutcomeUnknown with a
//    retry time takes their place;
//  - kDeadlineExceeded: the caller's deadline passed with the call on its way;
//    the outcome can be asked for with the same key;
//  - kWrongOwner: the controller is closing; ask the next owner;
//  - kKeyReused: the key belongs to a call with other content.

#ifndef LIBLEDGER_PARTITION_CONTROLLER_H_
#define LIBLEDGER_PARTITION_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/event.h"
#include "LibLedger/call_table.h"
#include "LibLedger/dispatcher.h"
#include "LibLedger/group_writer.h"
#include "LibLedger/held_calls.h"
#include "LibLedger/ledger_call.h"
#include "LibLedger/partition_state.h"
#include "LibLedger/state_freshness.h"
#include "LibLedger/stream_start.h"
#include "LibPlatform/log_follower.h"
#include "LibPlatform/scheduler.h"

namespace wasabi::ledger {

struct PartitionOptions {
  int partition = 0;
  // Names this controller in the stamps of its records. Must be random and
  // new for every controller, also of the same process.
  uint64_t writer = 0;
  // See GroupWriterOptions.
  core::Duration append_interval = core::milliseconds(100);
  int append_burst = 2;
  size_t group_records = 500;
  size_t group_bytes = 256U << 10U;
  // How long an append without an answer is tried.
  core::Duration settle_timeout = core::seconds(5);
  // How long the log may hold a read.
  core::Duration poll_wait = core::seconds(2);
  // Calls that arrive before the stream is folded wait this long.
  core::Duration open_wait = core::seconds(2);
  // A call is given up as unknown when it has run this long.
  core::Duration max_call_duration = core::seconds(10);
  // An intent that is read back later than this is not run any more.
  core::Duration dispatch_window = core::seconds(5);
  // A call of another writer that has not ended is declared unknown this long
  // after its intent was seen. Must exceed dispatch_window, max_call_duration
  // and settle_timeout together, or calls in progress are declared unknown.
  core::Duration unknown_grace = core::seconds(25);
  // How long an answer waits for its record while the log fails.
  core::Duration record_wait = core::seconds(3);
  // When this host may say that a key has not run. The clock tolerance also
  // applies to the lifetime of keys.
  FreshnessOptions freshness;
  // Keys are forgotten after this time; a resend must come earlier. The log
  // must keep records for at least as long.
  core::Duration key_lifetime = std::chrono::hours(1);
  // Bounds of memory: keys of the partition, calls that wait for a group, and
  // bytes of the bodies of all calls in progress.
  size_t max_keys = 200000;
  size_t max_queued = 5000;
  size_t max_body_bytes = 64U << 20U;
  // Larger bodies of answers are not recorded.
  size_t max_result_bytes = 64U << 10U;
  // The retry time of refusals.
  core::Duration retry_after = core::milliseconds(500);
  // Whether a call runs only after its intent was read back. Tests switch it
  // off to see that the proofs notice; everything else needs it.
  bool awaits_read_back = true;
  // Close finishes after this time even if records could not be appended.
  core::Duration close_timeout = core::seconds(15);
};

// What a controller works with; all must outlive it.
struct PartitionDependencies {
  platform::LogClient* log = nullptr;
  platform::Scheduler* scheduler = nullptr;
  Dispatcher* dispatcher = nullptr;
  // Milliseconds since 1970.
  std::function<int64_t()> wall_clock;
  // Optional; the numbered events of the ledger and of its stream.
  std::function<void(core::EventCode code,
                     std::string_view request_id,
                     std::string_view detail)>
      on_event;
};

class PartitionController
    : public std::enable_shared_from_this<PartitionController> {
 public:
  using Callback = LedgerCallback;

  static std::shared_ptr<PartitionController> Create(
      const PartitionDependencies& dependencies,
      const PartitionOptions& options);
  ~PartitionController();
  PartitionController(const PartitionController&) = delete;
  PartitionController& operator=(const PartitionController&) = delete;

  // Begins to fold the stream; calls may be submitted at once.
  void Open();

  // Runs `call`, or finds the outcome of its key. `callback` is called once,
  // never inside Submit, and at the latest soon after the call's deadline.
  void Submit(const LedgerCall& call, Callback callback);

  // Takes no more calls and finishes those in progress; calls `on_closed` when
  // nothing is left to record. The host may stop owning the partition then.
  void Close(std::function<void()> on_closed);

  bool is_open() const { return is_open_; }
  const PartitionState& state() const { return state_; }
  // Keys with a call in progress or a caller waiting.
  size_t calls_in_progress() const { return calls_.size(); }

 private:
  PartitionController(const PartitionDependencies& dependencies,
                      const PartitionOptions& options);

  // Opening and folding.
  void StartFollower(const StreamStart& start);
  void FindStart();
  void OnPage(const platform::LogPage& page);
  void FoldRecord(const platform::LogRecord& record);
  void OnEffect(const LedgerRecord& record,
                RecordEffect effect,
                uint64_t writer);
  void BecomeOpen();
  // Reports a log that has forgotten records within the lifetime of their keys.
  void ReportShortRetention();
  void GiveUpHeldCalls();

  // Submitting.
  void Hold(const LedgerCall& call, Callback callback);
  void SubmitNew(const LedgerCall& call, Callback callback);
  void Follow(const LedgerCall& call, Callback callback);
  void Join(CallInProgress* it, const LedgerCall& call, Callback callback);
  void OnWaiterDeadline(const LedgerKey& key, uint64_t waiter_id);
  bool IsTooOld(const std::string& key) const;
  core::ResultCode RefusalOf(const LedgerCall& call) const;

  // Running.
  void OnIntentSent(const LedgerRecord& intent);
  void OnIntentFailed(const LedgerRecord& intent, const absl::Status& status);
  void OnIntentWon(const LedgerRecord& intent);
  void OnIntentLost(const LedgerRecord& intent);
  void Run(const LedgerKey& key);
  void OnResult(const LedgerKey& key,
                uint64_t attempt,
                const DispatchResult& result);
  void RecordEnd(const LedgerKey& key, const LedgerOutcome& outcome);
  void AnswerUnrecorded(const LedgerKey& key, uint64_t attempt);
  void OnEnded(const LedgerRecord& record, uint64_t writer);

  // Another writer's call that does not end.
  void CheckUnknownLater(const LedgerKey& key);
  void DeclareUnknown(const LedgerKey& key);

  // Answering.
  LedgerOutcome NotRunOutcome(core::ResultCode code) const;
  LedgerOutcome UnknownForNow() const;
  LedgerOutcome ElsewhereOutcome() const;

  void Tick();
  void FinishClose();
  void StopReadingAndWriting();
  void Report(core::EventCode code,
              std::string_view request_id,
              std::string_view detail);
  // Calls `method` with `arguments` after `delay`, if the controller lives.
  template <typename Method, typename... Arguments>
  void CallAfter(core::Duration delay, Method method, Arguments... arguments);

  const PartitionDependencies dependencies_;
  const PartitionOptions options_;
  PartitionState state_;
  std::shared_ptr<platform::LogFollower> follower_;
  std::shared_ptr<GroupWriter> writer_;
  CallTable calls_;
  HeldCalls held_calls_;
  StateFreshness freshness_;
  platform::Backoff open_backoff_;
  platform::Offset open_at_ = 0;
  bool is_open_ = false;
  // Whether the latest try to find the start of the stream failed.
  bool is_start_failing_ = false;
  bool is_closing_ = false;
  core::TimePoint close_deadline_;
  std::function<void()> on_closed_;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_PARTITION_CONTROLLER_H_
