#include "Tests/Support/TopicStore/keyed_log.h"

#include <utility>

#include "LibCore/result_code.h"

namespace wasabi::support {

using platform::KeyedPage;
using platform::KeyedRecord;
using platform::Offset;

namespace {

constexpr platform::LogEpoch kFirstEpoch = 1;

}  // namespace

Offset KeyedLog::Append(const std::string& topic,
                        const std::string& key,
                        std::optional<std::string> value) {
  Topic& it = topics_[topic];
  const auto offset = static_cast<Offset>(it.records.size());
  it.records.push_back(
      {.key = key, .value = std::move(value), .offset = offset});
  return offset;
}

KeyedPage KeyedLog::ReadNewest(const std::string& topic) const {
  std::map<std::string, KeyedRecord> newest;
  for (const KeyedRecord& record : Find(topic).records) {
    newest[record.key] = record;
  }
  KeyedPage page;
  page.next = End(topic);
  page.epoch = epoch_;
  for (const auto& [key, record] : newest) {
    if (record.value) {
      page.records.push_back(record);
    }
  }
  return page;
}

absl::StatusOr<KeyedPage> KeyedLog::ReadFrom(const std::string& topic,
                                             Offset from) const {
  const Topic& it = Find(topic);
  const bool is_lost = from > End(topic) && epoch_ > kFirstEpoch;
  if (from < it.first_retained || is_lost) {
    return core::MakeStatus(core::ResultCode::kRecordsTruncated,
                            "the requested records do not exist");
  }
  KeyedPage page;
  page.next = End(topic);
  page.epoch = epoch_;
  for (Offset i = from; i < page.next; ++i) {
    page.records.push_back(it.records[static_cast<size_t>(i)]);
  }
  return page;
}

std::vector<std::string> KeyedLog::Topics() const {
  std::vector<std::string> names;
  names.reserve(topics_.size());
  for (const auto& [name, topic] : topics_) {
    names.push_back(name);
  }
  return names;
}

Offset KeyedLog::End(const std::string& topic) const {
  return static_cast<Offset>(Find(topic).records.size());
}

Offset KeyedLog::FirstKept(const std::string& topic) const {
  return Find(topic).first_retained;
}

void KeyedLog::Compact(const std::string& topic) {
  topics_[topic].first_retained = End(topic);
}

void KeyedLog::CompactAll() {
  for (const auto& [topic, records] : topics_) {
    Compact(topic);
  }
}

void KeyedLog::TruncateTo(const std::string& topic, Offset end) {
  topics_[topic].records.resize(static_cast<size_t>(end));
}

void KeyedLog::RestoreFrom(const KeyedLog& backup) {
  topics_ = backup.topics_;
  ++epoch_;
}

const KeyedLog::Topic& KeyedLog::Find(const std::string& topic) const {
  static const Topic kNone;
  const auto it = topics_.find(topic);
  return it == topics_.end() ? kNone : it->second;
}

}  // namespace wasabi::support
