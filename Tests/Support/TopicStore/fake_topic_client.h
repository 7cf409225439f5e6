// Keyed topics in memory behind the client's port, with faults.

#ifndef TESTS_SUPPORT_TOPICSTORE_FAKE_TOPIC_CLIENT_H_
#define TESTS_SUPPORT_TOPICSTORE_FAKE_TOPIC_CLIENT_H_

#include <map>
#include <string>
#include <vector>

#include "LibPlatform/keyed_topic_client.h"
#include "LibPlatform/scheduler.h"

namespace wasabi::support {

class FakeTopicClient : public platform::KeyedTopicClient {
 public:
  explicit FakeTopicClient(platform::Scheduler* scheduler)
      : scheduler_(scheduler) {}

  void ReadNewest(const std::string& topic, ReadCallback callback) override;
  // Answers at once, whatever `wait` is.
  void ReadFrom(const std::string& topic,
                platform::Offset from,
                core::Duration wait,
                ReadCallback callback) override;
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value,
           WriteCallback callback) override;

  // Writes a record; without a value the key is dropped.
  void Write(const std::string& topic,
             const std::string& key,
             std::optional<std::string> value);
  // Deletes all records but the newest of each key.
  void Compact(const std::string& topic);
  // Makes the topic look as it did when it ended at `end`.
  void RewindTo(const std::string& topic, platform::Offset end);

  void SetDown(bool is_down) { is_down_ = is_down; }
  // Reads are swallowed: their callbacks never run.
  void SetSilent(bool is_silent) { is_silent_ = is_silent; }
  int calls() const { return calls_; }

 private:
  struct Topic {
    std::vector<platform::KeyedRecord> records;
    platform::Offset first_kept = 0;
  };

  // Answers in a later turn, or not at all.
  void Answer(ReadCallback callback, absl::StatusOr<platform::KeyedPage> page);

  platform::Scheduler* const scheduler_;
  std::map<std::string, Topic> topics_;
  bool is_down_ = false;
  bool is_silent_ = false;
  int calls_ = 0;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_TOPICSTORE_FAKE_TOPIC_CLIENT_H_
