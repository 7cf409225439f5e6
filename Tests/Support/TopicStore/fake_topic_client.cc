#include "Tests/Support/TopicStore/fake_topic_client.h"

#include <utility>

#include "LibCore/result_code.h"

namespace wasabi::support {

namespace {

constexpr core::Duration kAnswerLatency = core::milliseconds(5);

}  // namespace

void FakeTopicClient::ReadNewest(const std::string& topic,
                                 ReadCallback callback) {
  Answer(std::move(callback), log_.ReadNewest(topic));
}

void FakeTopicClient::ReadFrom(const std::string& topic,
                               platform::Offset from,
                               core::Duration /*wait*/,
                               ReadCallback callback) {
  absl::StatusOr<platform::KeyedPage> page = log_.ReadFrom(topic, from);
  if (page.ok() && page->records.size() > records_per_read_) {
    page->next = page->records[records_per_read_].offset;
    page->records.resize(records_per_read_);
    page->lacks_newer_records = true;
  }
  Answer(std::move(callback), std::move(page));
}

void FakeTopicClient::Put(const std::string& topic,
                          const std::string& key,
                          const std::string& value,
                          WriteCallback callback) {
  ++calls_;
  Write(topic, key, value);
  scheduler_->CallAfter(
      kAnswerLatency, [callback = std::move(callback), epoch = log_.epoch()]() {
        callback(epoch);
      });
}

void FakeTopicClient::Write(const std::string& topic,
                            const std::string& key,
                            std::optional<std::string> value) {
  log_.Append(topic, key, std::move(value));
}

void FakeTopicClient::Answer(ReadCallback callback,
                             absl::StatusOr<platform::KeyedPage> page) {
  ++calls_;
  if (is_silent_) {
    return;
  }
  if (is_down_) {
    page = core::MakeStatus(core::ResultCode::kPlatformUnavailable,
                            "simulated platform outage");
  }
  scheduler_->CallAfter(kAnswerLatency,
                        [callback = std::move(callback),
                         page = std::move(page)]() { callback(page); });
}

}  // namespace wasabi::support
