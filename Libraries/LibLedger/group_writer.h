// Batches the records of one partition into groups and appends the groups to
// the log one at a time, at a limited rate.

#ifndef LIBLEDGER_GROUP_WRITER_H_
#define LIBLEDGER_GROUP_WRITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibLedger/ledger_record.h"
#include "LibPlatform/backoff.h"
#include "LibPlatform/durable_appender.h"
#include "LibPlatform/log_client.h"
#include "LibPlatform/scheduler.h"

namespace wasabi::ledger {

// Batching, rate limit and backoff of a GroupWriter.
struct GroupWriterOptions {
  platform::DurableAppenderOptions appender;
  // Average time between the starts of two appends under load.
  core::Duration append_interval = core::milliseconds(100);
  // Number of appends that may start back to back after an idle period. With 2,
  // the outcome of a single call is not delayed by the append of its intent.
  int append_burst = 2;
  // Maximum number of records in a group.
  size_t group_records = 500;
  // No record is added to a group that has reached this size in bytes, so the
  // last record may exceed it.
  size_t group_bytes = 256U << 10U;
  // Range of the backoff delay after a failed append.
  core::Duration minimum_backoff = core::milliseconds(200);
  core::Duration maximum_backoff = core::seconds(2);
};

// Callbacks to the owner of a GroupWriter. They may run inside its methods.
struct GroupWriterHandlers {
  // Called for each intent of a group just before the group is appended.
  std::function<void(const LedgerRecord& intent)> on_intent_sent;
  // Called for each intent that failed. kPlatformUnavailable means that the
  // intent is certainly not in the stream; it is also used for all intents that
  // were still queued when an append failed. kAppendUncertain means that the
  // intent may be in the stream.
  std::function<void(const LedgerRecord& intent, const absl::Status& status)>
      on_intent_failed;
};

// Appends each intent only once. All other records are idempotent, so they are
// queued again after a failure until a group that contains them is read back.
class GroupWriter : public std::enable_shared_from_this<GroupWriter> {
 public:
  // `client` and `scheduler` must outlive the writer. `wall_clock` returns
  // milliseconds since 1970.
  static std::shared_ptr<GroupWriter> Create(
      platform::LogClient* client,
      platform::Scheduler* scheduler,
      std::function<int64_t()> wall_clock,
      const GroupWriterOptions& options,
      GroupWriterHandlers handlers);

  // Queues `record` and starts an append if the rate limit allows it.
  void Add(LedgerRecord record);
  // Removes the queued intent with `attempt`. Returns false if the intent has
  // already been sent.
  bool RemoveIntent(uint64_t attempt);
  // Called by the owner after it applied the group with `stamp` from the
  // stream, which confirms that the append succeeded.
  void OnReadBack(const platform::RecordStamp& stamp);
  // Drops all queued records and the append in flight. No handler is called
  // afterwards.
  void Stop();

  // Returns true while the writer waits for its backoff delay after a failed
  // append.
  bool is_backing_off() const { return scheduler_->Now() < backoff_until_; }
  // Returns true if no record is queued or being appended.
  bool is_idle() const { return queue_.empty() && !appender_->is_busy(); }
  // Returns the number of queued records, without the group in flight.
  size_t queued() const { return queue_.size(); }

 private:
  GroupWriter(platform::LogClient* client,
              platform::Scheduler* scheduler,
              std::function<int64_t()> wall_clock,
              const GroupWriterOptions& options,
              GroupWriterHandlers handlers);

  // Appends the next group, or schedules this for the time at which the rate
  // limit allows it.
  void Flush();
  // Counts one append against the rate limit.
  void ConsumeAppendCredit();
  void FlushAt(core::TimePoint time);
  std::vector<LedgerRecord> TakeGroup();
  void OnAppended(const absl::Status& status);
  std::vector<LedgerRecord> TakeQueuedIntents();
  void FailIntents(const std::vector<LedgerRecord>& records,
                   const absl::Status& status);

  platform::Scheduler* scheduler_;
  std::function<int64_t()> wall_clock_;
  const GroupWriterOptions options_;
  GroupWriterHandlers handlers_;
  std::shared_ptr<platform::DurableAppender> appender_;
  platform::Backoff backoff_;
  std::deque<LedgerRecord> queue_;
  // The group that is being appended.
  std::vector<LedgerRecord> group_;
  core::TimePoint next_append_at_;
  bool is_flush_scheduled_ = false;
  core::TimePoint backoff_until_;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_GROUP_WRITER_H_
