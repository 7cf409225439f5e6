// A fake KeyedTopicClient that keeps its topics in memory and injects faults.

#ifndef TESTS_SUPPORT_TOPICSTORE_FAKE_TOPIC_CLIENT_H_
#define TESTS_SUPPORT_TOPICSTORE_FAKE_TOPIC_CLIENT_H_

#include <optional>
#include <string>

#include "LibPlatform/keyed_topic_client.h"
#include "LibPlatform/scheduler.h"
#include "Tests/Support/TopicStore/keyed_log.h"

namespace wasabi::support {

class FakeTopicClient : public platform::KeyedTopicClient {
 public:
  // `scheduler` must outlive the client.
  explicit FakeTopicClient(platform::Scheduler* scheduler)
      : scheduler_(scheduler) {}

  void ReadNewest(const std::string& topic, ReadCallback callback) override;
  // Answers without waiting for new records, whatever `wait` is.
  void ReadFrom(const std::string& topic,
                platform::Offset from,
                core::Duration wait,
                ReadCallback callback) override;
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value,
           WriteCallback callback) override;

  // Appends a record directly; without a value the key is deleted.
  void Write(const std::string& topic,
             const std::string& key,
             std::optional<std::string> value);
  void Compact(const std::string& topic) { log_.Compact(topic); }
  // Returns the current records, to be passed to RestoreFrom later.
  KeyedLog Backup() const { return log_; }
  // Replaces the records, as of a client of the same store.
  void SetLog(const KeyedLog& log) { log_ = log; }
  void RestoreFrom(const KeyedLog& backup) { log_.RestoreFrom(backup); }
  void TruncateTo(const std::string& topic, platform::Offset end) {
    log_.TruncateTo(topic, end);
  }

  // While down, reads fail with kPlatformUnavailable.
  void SetDown(bool is_down) { is_down_ = is_down; }
  // While silent, reads are dropped and their callbacks never run.
  void SetSilent(bool is_silent) { is_silent_ = is_silent; }
  // Limits the number of records that ReadFrom returns at once.
  void SetRecordsPerRead(size_t n) { records_per_read_ = n; }
  // Returns the number of reads and Put calls so far.
  int calls() const { return calls_; }

 private:
  // Calls `callback` from the scheduler after a delay, or never if silent.
  void Answer(ReadCallback callback, absl::StatusOr<platform::KeyedPage> page);

  platform::Scheduler* const scheduler_;
  KeyedLog log_;
  size_t records_per_read_ = SIZE_MAX;
  bool is_down_ = false;
  bool is_silent_ = false;
  int calls_ = 0;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_TOPICSTORE_FAKE_TOPIC_CLIENT_H_
