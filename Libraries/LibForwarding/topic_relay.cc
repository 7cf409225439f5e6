#include "LibForwarding/topic_relay.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

// Some reports may be lost; later ones repeat their changes for this long.
constexpr core::Duration kRepeatTime = core::seconds(3);
constexpr size_t kRecordOverheadBytes = 16;

size_t BytesOf(const RelayedRecord& record) {
  return record.key.size() + record.value.size() + kRecordOverheadBytes;
}

}  // namespace

void TopicRelay::NoteSnapshot(int64_t next) {
  changes_.clear();
  bytes_ = 0;
  complete_from_ = next;
}

void TopicRelay::NoteChange(const platform::KeyedRecord& record,
                            core::TimePoint now) {
  RelayedRecord relayed{.key = record.key,
                        .value = record.value.value_or(""),
                        .is_dropped = !record.value,
                        .offset = record.offset};
  bytes_ += BytesOf(relayed);
  changes_.push_back({.record = std::move(relayed), .noted_at = now});
  while (bytes_ > max_bytes_) {
    DropOldest();
  }
}

TopicReport TopicRelay::MakeReport(const platform::TopicView& view,
                                   core::TimePoint now) {
  Prune(now);
  TopicReport report;
  report.topic = topic_;
  report.complete_from = complete_from_;
  report.next = view.next();
  report.age_ms = core::ToMilliseconds(now - view.confirmed_at());
  for (const Change& it : changes_) {
    report.records.push_back(it.record);
  }
  return report;
}

void TopicRelay::Prune(core::TimePoint now) {
  while (!changes_.empty() && now - changes_.front().noted_at > kRepeatTime) {
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
  std::vector<platform::KeyedRecord> records;
  records.reserve(report.records.size());
  for (const RelayedRecord& it : report.records) {
    platform::KeyedRecord record;
    record.key = it.key;
    record.offset = it.offset;
    if (!it.is_dropped) {
      record.value = it.value;
    }
    records.push_back(std::move(record));
  }
  return view->ApplyReport(report.complete_from, report.next, records,
                           core::milliseconds(std::max<int64_t>(
                               report.age_ms, 0)));
}

}  // namespace wasabi::forwarding
