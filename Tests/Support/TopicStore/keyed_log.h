// Keyed topics in memory, as the platform's log keeps them. Free of sockets
// and clocks.

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
  // Writes a record and returns its offset; without a value the key is dropped.
  platform::Offset Append(const std::string& topic,
                          const std::string& key,
                          std::optional<std::string> value);

  // The newest record of each key that exists.
  platform::KeyedPage ReadNewest(const std::string& topic) const;
  // All records from `from` on; kRecordsTruncated where they were deleted.
  absl::StatusOr<platform::KeyedPage> ReadFrom(const std::string& topic,
                                               platform::Offset from) const;

  platform::Offset End(const std::string& topic) const;
  platform::Offset FirstKept(const std::string& topic) const;

  // Deletes all records but the newest of each key.
  void Compact(const std::string& topic);
  void CompactAll();
  // Makes the topic look as it did when it ended at `end`.
  void RewindTo(const std::string& topic, platform::Offset end);

 private:
  struct Topic {
    std::vector<platform::KeyedRecord> records;
    platform::Offset first_retained = 0;
  };

  // An empty topic where there is none.
  const Topic& Find(const std::string& topic) const;

  std::map<std::string, Topic> topics_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_TOPICSTORE_KEYED_LOG_H_
