// Queues the records of one partition and appends them in groups, at a bounded
// rate and one group at a time.

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

struct GroupWriterOptions {
  platform::DurableAppenderOptions appender;
  // The mean time between the starts of two appends under load.
  core::Duration append_interval = core::milliseconds(100);
  // Appends that may follow one another at once after a rest, so that a single
  // call's intent and end don't wait for each other.
  int append_burst = 2;
  // Bounds of one group.
  size_t group_records = 500;
  size_t group_bytes = 256U << 10U;
  // Delays after an append that failed.
  core::Duration minimum_backoff = core::milliseconds(200);
  core::Duration maximum_backoff = core::seconds(2);
};

struct GroupWriterHandlers {
  // The intents of a group are about to be appended.
  std::function<void(const LedgerRecord& intent)> on_intent_sent;
  // An append failed. kPlatformUnavailable: the intent is certainly not in the
  // stream, which also holds for all that were still queued. kAppendUncertain:
  // it may be.
  std::function<void(const LedgerRecord& intent, const absl::Status& status)>
      on_intent_failed;
};

// Intents are tried once; all other records are queued again until a group
// with them was read back, since repeating them changes nothing.
class GroupWriter : public std::enable_shared_from_this<GroupWriter> {
 public:
  // `client` and `scheduler` must outlive the writer; `wall_clock` returns
  // milliseconds since 1970.
  static std::shared_ptr<GroupWriter> Create(
      platform::LogClient* client,
      platform::Scheduler* scheduler,
      std::function<int64_t()> wall_clock,
      const GroupWriterOptions& options,
      GroupWriterHandlers handlers);

  void Add(LedgerRecord record);
  // Removes the queued intent of `attempt`; false when it was sent already.
  bool RemoveIntent(uint64_t attempt);
  // Tells the writer that a group with `stamp` was folded.
  void OnReadBack(const platform::RecordStamp& stamp);
  void Stop();

  // Whether an append failed and the time to try again has not come.
  bool is_backing_off() const { return scheduler_->Now() < backoff_until_; }
  bool is_idle() const { return queue_.empty() && !appender_->is_busy(); }
  size_t queued() const { return queue_.size(); }

 private:
  GroupWriter(platform::LogClient* client,
              platform::Scheduler* scheduler,
              std::function<int64_t()> wall_clock,
              const GroupWriterOptions& options,
              GroupWriterHandlers handlers);

  void Flush();
  // Takes one append from the rate.
  void NoteAppend();
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
  // The group in flight.
  std::vector<LedgerRecord> group_;
  core::TimePoint next_append_at_;
  bool is_flush_scheduled_ = false;
  core::TimePoint backoff_until_;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_GROUP_WRITER_H_
