// Keyed topics in memory, with the semantics of the platform's log. Uses no
// sockets and no clock.

#ifndef TESTS_SUPPORT_TOPICSTORE_KEYED_LOG_H_
#define TESTS_SUPPORT_TOPICSTORE_KEYED_LOG_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibPlatform/keyed_topic_client.h"
#include "absl/status/statusor.h"

namespace wasabi::support {

class KeyedLog {
 public:
  // Appends a record and returns its offset; without a value the key is
  // deleted.
  platform::Offset Append(const std::string& topic,
                          const std::string& key,
                          std::optional<std::string> value);

  // Returns the newest record of each key that has a value.
  platform::KeyedPage ReadNewest(const std::string& topic) const;
  // Returns all records from offset `from` on. Error: kRecordsTruncated if
  // `from` lies before the first offset that compaction kept, or after the end
  // of a restored topic.
  absl::StatusOr<platform::KeyedPage> ReadFrom(const std::string& topic,
                                               platform::Offset from) const;

  std::vector<std::string> Topics() const;
  // Returns the offset of the next record to be appended.
  platform::Offset End(const std::string& topic) const;
  // Returns the first offset that can be read from.
  platform::Offset FirstKept(const std::string& topic) const;

  // Simulates compaction: reads from any offset before the current end fail,
  // while ReadNewest still returns the newest record of each key.
  void Compact(const std::string& topic);
  void CompactAll();
  // Truncates the topic to `end`, as if later records had never been written.
  void TruncateTo(const std::string& topic, platform::Offset end);

  // Simulates a restore from the backup `backup`: its records replace those of
  // all topics, and a new history begins.
  void RestoreFrom(const KeyedLog& backup);
  // The number of the current history.
  platform::LogEpoch epoch() const { return epoch_; }

 private:
  struct Topic {
    std::vector<platform::KeyedRecord> records;
    platform::Offset first_retained = 0;
  };

  // Returns the topic, or an empty one if it does not exist.
  const Topic& Find(const std::string& topic) const;

  std::map<std::string, Topic> topics_;
  platform::LogEpoch epoch_ = 1;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_TOPICSTORE_KEYED_LOG_H_
