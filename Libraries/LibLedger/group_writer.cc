#include "LibLedger/group_writer.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"

namespace wasabi::ledger {

std::shared_ptr<GroupWriter> GroupWriter::Create(
    platform::LogClient* client,
    platform::Scheduler* scheduler,
    std::function<int64_t()> wall_clock,
    const GroupWriterOptions& options,
    GroupWriterHandlers handlers) {
  return std::shared_ptr<GroupWriter>(new GroupWriter(
      client, scheduler, std::move(wall_clock), options, std::move(handlers)));
}

GroupWriter::GroupWriter(platform::LogClient* client,
                         platform::Scheduler* scheduler,
                         std::function<int64_t()> wall_clock,
                         const GroupWriterOptions& options,
                         GroupWriterHandlers handlers)
    : scheduler_(scheduler),
      wall_clock_(std::move(wall_clock)),
      options_(options),
      handlers_(std::move(handlers)),
      appender_(platform::DurableAppender::Create(client,
                                                  scheduler,
                                                  options.appender)),
      backoff_(options.minimum_backoff,
               options.maximum_backoff,
               options.appender.writer) {}

void GroupWriter::Add(LedgerRecord record) {
  queue_.push_back(std::move(record));
  Flush();
}

bool GroupWriter::RemoveIntent(uint64_t attempt) {
  const auto it = std::find_if(
      queue_.begin(), queue_.end(), [attempt](const LedgerRecord& record) {
        return record.kind == LedgerRecordKind::kIntent &&
               record.attempt == attempt;
      });
  if (it == queue_.end()) {
    return false;
  }
  queue_.erase(it);
  return true;
}

void GroupWriter::OnReadBack(const platform::RecordStamp& stamp) {
  appender_->OnReadBack(stamp);
}

void GroupWriter::Stop() {
  handlers_ = GroupWriterHandlers();
  queue_.clear();
  appender_->Stop();
}

void GroupWriter::Flush() {
  if (queue_.empty() || appender_->is_busy()) {
    return;
  }
  const core::TimePoint now = scheduler_->Now();
  if (now < next_append_at_) {
    FlushAt(next_append_at_);
    return;
  }
  ConsumeAppendCredit();
  group_ = TakeGroup();
  const std::vector<LedgerRecord> group = group_;
  for (const LedgerRecord& record : group) {
    if (record.kind == LedgerRecordKind::kIntent) {
      handlers_.on_intent_sent(record);
    }
  }
  const int64_t wall_ms = wall_clock_();
  const auto make_body = [&](const platform::RecordStamp& stamp) {
    return EncodeGroup({stamp, wall_ms, group});
  };
  appender_->Append(make_body,
                    [weak = weak_from_this()](const absl::Status& status) {
                      if (const auto it = weak.lock()) {
                        it->OnAppended(status);
                      }
                    });
}

void GroupWriter::ConsumeAppendCredit() {
  const core::Duration credit =
      options_.append_interval * (options_.append_burst - 1);
  const core::TimePoint earliest = scheduler_->Now() - credit;
  next_append_at_ =
      std::max(next_append_at_, earliest) + options_.append_interval;
}

void GroupWriter::FlushAt(core::TimePoint time) {
  if (is_flush_scheduled_) {
    return;
  }
  is_flush_scheduled_ = true;
  scheduler_->CallAfter(time - scheduler_->Now(), [weak = weak_from_this()] {
    if (const auto it = weak.lock()) {
      it->is_flush_scheduled_ = false;
      it->Flush();
    }
  });
}

std::vector<LedgerRecord> GroupWriter::TakeGroup() {
  std::vector<LedgerRecord> group;
  size_t bytes = 0;
  while (!queue_.empty() && group.size() < options_.group_records &&
         bytes < options_.group_bytes) {
    bytes += queue_.front().VariableBytes();
    group.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  return group;
}

void GroupWriter::OnAppended(const absl::Status& status) {
  const std::vector<LedgerRecord> group = std::exchange(group_, {});
  if (status.ok()) {
    backoff_.Reset();
    Flush();
    return;
  }
  backoff_until_ = scheduler_->Now() + backoff_.Next();
  next_append_at_ = backoff_until_;
  const std::vector<LedgerRecord> queued = TakeQueuedIntents();
  for (const LedgerRecord& record : group) {
    if (record.kind != LedgerRecordKind::kIntent) {
      queue_.push_back(record);
    }
  }
  FailIntents(group, status);
  FailIntents(queued,
              core::MakeStatus(core::ResultCode::kPlatformUnavailable,
                               "previous append to the ledger stream failed"));
  Flush();
}

std::vector<LedgerRecord> GroupWriter::TakeQueuedIntents() {
  std::vector<LedgerRecord> intents;
  std::deque<LedgerRecord> others;
  for (LedgerRecord& record : queue_) {
    if (record.kind == LedgerRecordKind::kIntent) {
      intents.push_back(std::move(record));
    } else {
      others.push_back(std::move(record));
    }
  }
  queue_ = std::move(others);
  return intents;
}

void GroupWriter::FailIntents(const std::vector<LedgerRecord>& records,
                              const absl::Status& status) {
  for (const LedgerRecord& record : records) {
    const bool is_intent = record.kind == LedgerRecordKind::kIntent;
    if (is_intent && handlers_.on_intent_failed) {
      handlers_.on_intent_failed(record, status);
    }
  }
}

}  // namespace wasabi::ledger
