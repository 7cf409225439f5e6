// The log shared by all store servers. Notifies its watchers of new records so
// that pending reads can be answered.

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

  // Adds a watcher that is called synchronously after each append. Watchers
  // can't be removed.
  void AddWatcher(Watcher watcher) { watchers_.push_back(std::move(watcher)); }

  // Appends a record and returns its offset; without a value the key is
  // deleted.
  platform::Offset Append(const std::string& topic,
                          const std::string& key,
                          std::optional<std::string> value) {
    const platform::Offset offset = log_.Append(topic, key, std::move(value));
    for (const Watcher& it : watchers_) {
      it(topic);
    }
    return offset;
  }

  // Compacts all topics, so that reads from earlier offsets fail.
  void CompactAll() { log_.CompactAll(); }
  // Replaces all records by those of `backup` and wakes up pending reads.
  void RestoreFrom(const KeyedLog& backup) {
    log_.RestoreFrom(backup);
    for (const Watcher& it : watchers_) {
      for (const std::string& topic : log_.Topics()) {
        it(topic);
      }
    }
  }
  const KeyedLog& log() const { return log_; }

 private:
  KeyedLog log_;
  std::vector<Watcher> watchers_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_PLATFORMSTORE_WATCHED_LOG_H_
