#include "LibForwarding/topic_relay.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

// Reports may be lost, so each change is repeated in all reports for this long.
constexpr core::Duration kRepeatPeriod = core::seconds(3);
constexpr size_t kRecordOverheadBytes = 16;

size_t BytesOf(const RelayedRecord& record) {
  return record.key.size() + record.value.size() + kRecordOverheadBytes;
}

RelayedRecord ToRelayed(const platform::KeyedRecord& record) {
  return {.key = record.key,
          .value = record.value.value_or(""),
          .is_dropped = !record.value,
          .offset = record.offset};
}

std::vector<platform::KeyedRecord> FromRelayed(
    const std::vector<RelayedRecord>& relayed) {
  std::vector<platform::KeyedRecord> records;
  records.reserve(relayed.size());
  for (const RelayedRecord& it : relayed) {
    platform::KeyedRecord record;
    record.key = it.key;
    record.offset = it.offset;
    if (!it.is_dropped) {
      record.value = it.value;
    }
    records.push_back(std::move(record));
  }
  return records;
}

core::Duration AgeOf(int64_t age_ms) {
  return core::milliseconds(std::max<int64_t>(age_ms, 0));
}

}  // namespace

void TopicRelay::RecordSnapshot(int64_t next) {
  has_updates_ = true;
  changes_.clear();
  bytes_ = 0;
  complete_from_ = next;
}

void TopicRelay::RecordChange(const platform::KeyedRecord& record,
                              core::TimePoint now) {
  has_updates_ = true;
  RelayedRecord relayed = ToRelayed(record);
  bytes_ += BytesOf(relayed);
  changes_.push_back({.record = std::move(relayed), .recorded_at = now});
  while (bytes_ > max_bytes_) {
    DropOldest();
  }
}

TopicReport TopicRelay::MakeReport(const platform::TopicView& view,
                                   core::TimePoint now) {
  Prune(now);
  has_updates_ = false;
  TopicReport report;
  report.topic = topic_;
  report.complete_from = complete_from_;
  report.next = view.next();
  report.epoch = view.epoch();
  report.age_ms = core::ToMilliseconds(now - view.confirmed_at());
  for (const Change& it : changes_) {
    report.records.push_back(it.record);
  }
  return report;
}

void TopicRelay::Prune(core::TimePoint now) {
  while (!changes_.empty() &&
         now - changes_.front().recorded_at > kRepeatPeriod) {
    DropOldest();
  }
}

void TopicRelay::DropOldest() {
  const RelayedRecord& oldest = changes_.front().record;
  complete_from_ = std::max(complete_from_, oldest.offset + 1);
  bytes_ -= BytesOf(oldest);
  changes_.pop_front();
}

bool ApplyTopicReport(const TopicReport& report, platform::TopicView* view) {
  return view->ApplyReport(report.complete_from,
                           {.records = FromRelayed(report.records),
                            .next = report.next,
                            .epoch = report.epoch},
                           AgeOf(report.age_ms));
}

TopicSnapshot MakeTopicSnapshot(const platform::TopicView& view,
                                core::TimePoint now) {
  const platform::KeyedPage page = view.Copy();
  TopicSnapshot copy;
  copy.next = page.next;
  copy.epoch = page.epoch;
  copy.age_ms = core::ToMilliseconds(now - view.confirmed_at());
  for (const platform::KeyedRecord& it : page.records) {
    copy.records.push_back(ToRelayed(it));
  }
  return copy;
}

void ApplyTopicSnapshot(const TopicSnapshot& copy, platform::TopicView* view) {
  view->ApplyCopy({.records = FromRelayed(copy.records),
                   .next = copy.next,
                   .epoch = copy.epoch},
                  AgeOf(copy.age_ms));
}

}  // namespace wasabi::forwarding
