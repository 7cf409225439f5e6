// Relays a topic from a host that reads it from the platform to hosts that do
// not. A report states how far the sender has read, and carries the recent
// records that changed something. Heartbeats of unchanged registrations are
// omitted, so that a report fits into one datagram.

#ifndef LIBFORWARDING_TOPIC_RELAY_H_
#define LIBFORWARDING_TOPIC_RELAY_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "LibCore/message.h"
#include "LibCore/time.h"
#include "LibPlatform/keyed_topic_client.h"
#include "LibPlatform/topic_view.h"

namespace wasabi::forwarding {

struct RelayedRecord {
  std::string key;
  std::string value;
  // Whether the key was dropped.
  bool is_dropped = false;
  int64_t offset = 0;

  MSGPACK_DEFINE(key, value, is_dropped, offset);
};

struct TopicReport {
  // Number of the topic, which is the same on all hosts of one release.
  uint8_t topic = 0;
  // `records` contains all changes from this offset on.
  int64_t complete_from = 0;
  // Offset of the next record that the sender has not read.
  int64_t next = 0;
  // Time in milliseconds since the sender's view was last known to be current.
  int64_t age_ms = 0;
  std::vector<RelayedRecord> records;
  // History that the offsets belong to (platform::LogEpoch).
  int64_t epoch = 0;

  MSGPACK_DEFINE(topic, complete_from, next, age_ms, records, epoch);
};

// A host's complete view of a topic, for a host that has missed changes.
struct TopicSnapshot {
  int64_t next = 0;
  int64_t age_ms = 0;
  std::vector<RelayedRecord> records;
  // History that the offsets belong to (platform::LogEpoch).
  int64_t epoch = 0;

  MSGPACK_DEFINE(next, age_ms, records, epoch);
};

class TopicRelay {
 public:
  // `max_bytes` limits the total size of the records in one report.
  TopicRelay(uint8_t topic, size_t max_bytes)
      : topic_(topic), max_bytes_(max_bytes) {}

  uint8_t topic() const { return topic_; }

  // Records that the view was replaced as a whole. Changes before offset `next`
  // are no longer known one by one.
  void RecordSnapshot(int64_t next);
  // Records that `record` changed the view.
  void RecordChange(const platform::KeyedRecord& record, core::TimePoint now);

  // Returns a report of the sender's `view` with its recent changes.
  TopicReport MakeReport(const platform::TopicView& view, core::TimePoint now);
  // Returns whether anything changed since the last report.
  bool has_updates() const { return has_updates_; }

 private:
  struct Change {
    RelayedRecord record;
    core::TimePoint recorded_at;
  };

  void Prune(core::TimePoint now);
  void DropOldest();

  const uint8_t topic_;
  const size_t max_bytes_;
  std::deque<Change> changes_;
  size_t bytes_ = 0;
  int64_t complete_from_ = 0;
  bool has_updates_ = false;
};

// Applies a report to `view`. Returns the result of TopicView::ApplyReport.
bool ApplyTopicReport(const TopicReport& report, platform::TopicView* view);

TopicSnapshot MakeTopicSnapshot(const platform::TopicView& view,
                                core::TimePoint now);
void ApplyTopicSnapshot(const TopicSnapshot& copy, platform::TopicView* view);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_TOPIC_RELAY_H_
