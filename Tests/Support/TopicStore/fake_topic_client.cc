#include "Tests/Support/TopicStore/fake_topic_client.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"

namespace wasabi::support {

namespace {

constexpr core::Duration kAnswerTime = core::milliseconds(5);

}  // namespace

void FakeTopicClient::ReadNewest(const std::string& topic,
                                 ReadCallback callback) {
  std::map<std::string, platform::KeyedRecord> newest;
  const Topic& it = topics_[topic];
  for (const platform::KeyedRecord& record : it.records) {
    newest[record.key] = record;
  }
  platform::KeyedPage page;
  page.next = static_cast<platform::Offset>(it.records.size());
  for (const auto& [key, record] : newest) {
    if (record.value) {
      page.records.push_back(record);
    }
  }
  Answer(std::move(callback), std::move(page));
}

void FakeTopicClient::ReadFrom(const std::string& topic,
                               platform::Offset from,
                               core::Duration /*wait*/,
                               ReadCallback callback) {
  const Topic& it = topics_[topic];
  const auto end = static_cast<platform::Offset>(it.records.size());
  if (from < it.first_kept) {
    Answer(std::move(callback),
           core::MakeStatus(core::ResultCode::kRecordsForgotten, "deleted"));
    return;
  }
  platform::KeyedPage page;
  page.next = end;
  for (platform::Offset i = from; i < end; ++i) {
    page.records.push_back(it.records[static_cast<size_t>(i)]);
  }
  Answer(std::move(callback), std::move(page));
}

void FakeTopicClient::Put(const std::string& topic,
                          const std::string& key,
                          const std::string& value,
                          WriteCallback callback) {
  ++calls_;
  Write(topic, key, value);
  scheduler_->CallAfter(kAnswerTime, [callback = std::move(callback)]() {
    callback(absl::OkStatus());
  });
}

void FakeTopicClient::Write(const std::string& topic,
                            const std::string& key,
                            std::optional<std::string> value) {
  Topic& it = topics_[topic];
  it.records.push_back(
      {.key = key,
       .value = std::move(value),
       .offset = static_cast<platform::Offset>(it.records.size())});
}

void FakeTopicClient::Compact(const std::string& topic) {
  Topic& it = topics_[topic];
  it.first_kept = static_cast<platform::Offset>(it.records.size());
}

void FakeTopicClient::RewindTo(const std::string& topic, platform::Offset end) {
  topics_[topic].records.resize(static_cast<size_t>(end));
}

void FakeTopicClient::Answer(ReadCallback callback,
                             absl::StatusOr<platform::KeyedPage> page) {
  ++calls_;
  if (is_silent_) {
    return;
  }
  if (is_down_) {
    page = core::MakeStatus(core::ResultCode::kPlatformUnavailable, "down");
  }
  scheduler_->CallAfter(
      kAnswerTime, [callback = std::move(callback), page = std::move(page)]() {
        callback(page);
      });
}

}  // namespace wasabi::support
