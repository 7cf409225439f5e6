// The log that all addresses of the store share. Tells its watchers of new
// records, so that reads that wait can go on.

#ifndef TESTS_SUPPORT_PLATFORMSTORE_WATCHED_LOG_H_
#define TESTS_SUPPORT_PLATFORMSTORE_WATCHED_LOG_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Tests/Support/TopicStore/keyed_log.h"

namespace wasabi::support {

class WatchedLog {
 public:
  using Watcher = std::function<void(const std::string& topic)>;

  void AddWatcher(Watcher watcher) { watchers_.push_back(std::move(watcher)); }

  platform::Offset Append(const std::string& topic,
                          const std::string& key,
                          std::optional<std::string> value) {
    const platform::Offset offset = log_.Append(topic, key, std::move(value));
    for (const Watcher& it : watchers_) {
      it(topic);
    }
    return offset;
  }

  // Deletes all records but the newest of each key of each topic.
  void CompactAll() { log_.CompactAll(); }
  const KeyedLog& log() const { return log_; }

 private:
  KeyedLog log_;
  std::vector<Watcher> watchers_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_PLATFORMSTORE_WATCHED_LOG_H_
