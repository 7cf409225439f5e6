// Controls one ledger partition on the host that owns it. It runs each call at
// most once and reports "not run" only if the call can never run.
//
// A call passes these steps: append an intent, read the intent back from the
// log, run the call if the intent is the first record of its key, append the
// outcome, read the outcome back, answer the caller. This is safe even if two
// hosts both believe that they own the partition and each runs a controller for
// it: the order of the log determines which intent is valid.
//
// Outcomes that a caller receives:
//  - The service's answer, after its record was read back. If the log is
//    unavailable for longer than `record_wait`, the answer is returned before
//    it is recorded, and the controller keeps trying to record it.
//  - kNotRun: recorded. No call with this key ever runs.
//  - kOutcomeUnknown without a retry time: recorded. The call may have run and
//    never runs again.
//  - kOutcomeUnknown with a retry time: this host cannot determine the outcome.
//    The caller may safely retry with the same key.
//  - kPlatformUnavailable, kOverloaded, kDeadlineTooShort, kOrganisationLimit:
//    this request did not run and never will. The key has no record, and the
//    caller may retry with it. If this host may have missed records of another
//    owner, the caller receives kOutcomeUnknown with a retry time instead.
//  - kDeadlineExceeded: the caller's deadline expired while the call was in
//    progress. The caller can query the outcome with the same key.
//  - kWrongOwner: the controller is closing. The caller should ask the next
//    owner.
//  - kKeyReused: the key belongs to a call with different content.

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

// Limits and timing of a PartitionController.
struct PartitionOptions {
  // The partition's number, from 0 to kLedgerPartitions - 1.
  int partition = 0;
  // Identifies this controller in the stamps of its records. Must be a new
  // random value for every controller, even within one process.
  uint64_t writer = 0;
  // See GroupWriterOptions.
  core::Duration append_interval = core::milliseconds(100);
  int append_burst = 2;
  size_t group_records = 500;
  size_t group_bytes = 256U << 10U;
  // How long the controller tries to resolve an append without an answer before
  // it treats the append as uncertain.
  core::Duration settle_timeout = core::seconds(5);
  // How long the log may keep a read open while there are no new records.
  core::Duration poll_wait = core::seconds(2);
  // How long a call waits for the partition to open.
  core::Duration open_wait = core::seconds(2);
  // Time limit for running a call. The outcome of a call that exceeds it is
  // unknown.
  core::Duration max_call_duration = core::seconds(10);
  // Maximum time between sending an intent and reading it back. A call whose
  // intent is read back later does not run and is recorded as kNotRun.
  core::Duration dispatch_window = core::seconds(5);
  // How long after the intent of another writer was applied its call is
  // declared unknown if no outcome has been recorded. Must exceed the sum of
  // dispatch_window, max_call_duration and settle_timeout; otherwise calls that
  // are still in progress are declared unknown.
  core::Duration unknown_grace = core::seconds(25);
  // How long an answer is withheld while its record cannot be read back.
  core::Duration record_wait = core::seconds(3);
  // Determines when this host may report that a key has not run. The clock
  // tolerance also applies to the lifetime of keys.
  FreshnessOptions freshness;
  // Keys expire after this time, so callers must retry earlier. The log must
  // retain records for at least this long.
  core::Duration key_lifetime = std::chrono::hours(1);
  // Memory limits. New calls beyond them are refused with kOverloaded.
  // Maximum number of keys with a record or a call in progress.
  size_t max_keys = 200000;
  // Maximum number of records that are queued for a group.
  size_t max_queued = 5000;
  // Maximum total size in bytes of the request bodies of all calls in progress.
  size_t max_body_bytes = 64U << 20U;
  // Answer bodies larger than this many bytes are not recorded.
  size_t max_result_bytes = 64U << 10U;
  // Retry time of outcomes that are not final.
  core::Duration retry_after = core::milliseconds(500);
  // If true, a call runs only after its intent was read back. Must stay true
  // outside of tests. Tests disable it to verify that their checks detect the
  // resulting duplicate runs.
  bool requires_read_back = true;
  // Close completes after this time even if some records could not be appended.
  core::Duration close_timeout = core::seconds(15);
};

// External services that a controller uses. All must outlive the controller.
struct PartitionDependencies {
  platform::LogClient* log = nullptr;
  platform::Scheduler* scheduler = nullptr;
  Dispatcher* dispatcher = nullptr;
  // Returns the wall-clock time in milliseconds since 1970.
  std::function<int64_t()> wall_clock;
  // Optional. Called for each event of the partition and of its log stream.
  // `request_id` is empty for events that do not belong to a call.
  std::function<void(core::EventCode code,
                     std::string_view request_id,
                     std::string_view detail)>
      on_event;
};

// Accepts calls for one partition. Not thread-safe: methods must be called on
// the thread that runs the scheduler, which also runs the callbacks.
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

  // Starts reading the stream. Calls may be submitted immediately afterwards.
  void Open();

  // Runs `call`, or looks up the outcome of its key. `callback` is called
  // exactly once, never inside Submit, and no later than shortly after the
  // call's deadline.
  void Submit(const LedgerCall& call, Callback callback);

  // Rejects new calls with kWrongOwner and completes the calls in progress.
  // Calls `on_closed` when no record is left to append, or after
  // `close_timeout`. The host may then give up ownership of the partition.
  void Close(std::function<void()> on_closed);

  // Returns true once the stream has been applied up to the end that it had
  // when the search for the start offset began.
  bool is_open() const { return is_open_; }
  const PartitionState& state() const { return state_; }
  // Returns the number of keys with a call in progress or a waiting caller.
  size_t calls_in_progress() const { return calls_.size(); }

 private:
  PartitionController(const PartitionDependencies& dependencies,
                      const PartitionOptions& options);

  // Opening the partition and applying records.
  void StartFollower(const StreamStart& start);
  void FindStreamStart();
  void OnPage(const platform::LogPage& page);
  void FoldRecord(const platform::LogRecord& record);
  void OnRecordApplied(const LedgerRecord& record,
                       RecordEffect effect,
                       uint64_t writer);
  void FinishOpening();
  // Reports an event if the log has deleted records whose keys have not
  // expired.
  void ReportShortRetention();
  void TimeOutHeldCalls();

  // Submitting calls.
  // Keeps a call until the partition is open.
  void Hold(const LedgerCall& call, Callback callback);
  // Accepts or refuses a call whose key has no record and no call in progress.
  void SubmitNew(const LedgerCall& call, Callback callback);
  // Waits for the outcome of another writer's call with the same key.
  void FollowOtherWriter(const LedgerCall& call, Callback callback);
  // Adds a caller to a call in progress.
  void Join(CallInProgress* it, const LedgerCall& call, Callback callback);
  void OnWaiterDeadline(const LedgerKey& key, uint64_t waiter_id);
  // Returns true if the key's creation time shows that records of the key may
  // have expired or may be missing on this host. An earlier call with the key
  // may then have run.
  bool IsKeyTooOld(const std::string& key) const;
  // Returns kOk if a new call is accepted, or the reason for the refusal.
  core::ResultCode RefusalOf(const LedgerCall& call) const;

  // Running calls and recording their outcomes.
  void OnIntentSent(const LedgerRecord& intent);
  void OnIntentFailed(const LedgerRecord& intent, const absl::Status& status);
  void OnIntentWon(const LedgerRecord& intent);
  void OnIntentLost(const LedgerRecord& intent);
  void Run(const LedgerKey& key);
  void OnResult(const LedgerKey& key,
                uint64_t attempt,
                const DispatchResult& result);
  // Queues the record of a call's outcome.
  void RecordOutcome(const LedgerKey& key, const LedgerOutcome& outcome);
  // Answers the callers although the outcome has not been read back in time.
  void AnswerUnrecorded(const LedgerKey& key, uint64_t attempt);
  void OnOutcomeFinal(const LedgerRecord& record, uint64_t writer);

  // Declaring calls of other writers unknown if their outcome stays missing.
  void ScheduleUnknownCheck(const LedgerKey& key);
  void DeclareUnknown(const LedgerKey& key);

  // Creating outcomes that are not recorded.
  // Returns `code` with a retry time, or kOutcomeUnknown if this host may have
  // missed records.
  LedgerOutcome RefusalOutcome(core::ResultCode code) const;
  LedgerOutcome RetryableUnknownOutcome() const;
  LedgerOutcome WrongOwnerOutcome() const;

  void Tick();
  void FinishClose();
  void StopReadingAndWriting();
  void Report(core::EventCode code,
              std::string_view request_id,
              std::string_view detail);
  // Calls `method` with `arguments` after `delay` if the controller still
  // exists then.
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
  // The end of the stream when the search for the start offset began. The
  // partition opens when all records before this offset have been applied.
  platform::Offset initial_end_ = 0;
  bool is_open_ = false;
  // True if the latest search for the start offset failed.
  bool has_start_search_failed_ = false;
  bool is_closing_ = false;
  core::TimePoint close_deadline_;
  std::function<void()> on_closed_;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_PARTITION_CONTROLLER_H_
