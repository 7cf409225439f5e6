// What a host that reads a topic from the platform tells the hosts that don't:
// how far it has read, and the recent records that changed anything. Heartbeats
// of unchanged registrations are left out, so a report fits one datagram.

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
  // The key was dropped.
  bool is_dropped = false;
  int64_t offset = 0;

  MSGPACK_DEFINE(key, value, is_dropped, offset);
};

struct TopicReport {
  // Number of the topic, as hosts of one release agree on it.
  uint8_t topic = 0;
  // `records` has all changes from this offset on.
  int64_t complete_from = 0;
  // Offset of the next record that the sender lacks.
  int64_t next = 0;
  // Time since the sender's view was known to be current.
  int64_t age_ms = 0;
  std::vector<RelayedRecord> records;

  MSGPACK_DEFINE(topic, complete_from, next, age_ms, records);
};

// A host's whole view of a topic, for one that has missed changes.
struct TopicCopy {
  int64_t next = 0;
  int64_t age_ms = 0;
  std::vector<RelayedRecord> records;

  MSGPACK_DEFINE(next, age_ms, records);
};

class TopicRelay {
 public:
  // `max_bytes` bounds the records of one report.
  TopicRelay(uint8_t topic, size_t max_bytes)
      : topic_(topic), max_bytes_(max_bytes) {}

  uint8_t topic() const { return topic_; }

  // The view was replaced as a whole; nothing before `next` is known in parts.
  void NoteSnapshot(int64_t next);
  // A record changed something.
  void NoteChange(const platform::KeyedRecord& record, core::TimePoint now);

  TopicReport MakeReport(const platform::TopicView& view, core::TimePoint now);
  // True when there is news since the last report.
  bool has_news() const { return has_news_; }

 private:
  struct Change {
    RelayedRecord record;
    core::TimePoint noted_at;
  };

  void Prune(core::TimePoint now);
  void DropOldest();

  const uint8_t topic_;
  const size_t max_bytes_;
  std::deque<Change> changes_;
  size_t bytes_ = 0;
  int64_t complete_from_ = 0;
  bool has_news_ = false;
};

// Applies a report to `view`; see TopicView::ApplyReport.
bool ApplyTopicReport(const TopicReport& report, platform::TopicView* view);

TopicCopy MakeTopicCopy(const platform::TopicView& view, core::TimePoint now);
void ApplyTopicCopy(const TopicCopy& copy, platform::TopicView* view);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_TOPIC_RELAY_H_
