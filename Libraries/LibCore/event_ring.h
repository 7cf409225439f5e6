// The bounded ring of a process's latest events, with its Lamport clock.

#ifndef LIBCORE_EVENT_RING_H_
#define LIBCORE_EVENT_RING_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/event.h"

namespace wasabi::core {

class EventRing {
 public:
  // Keeps at most `capacity` events; the oldest are dropped first. Every event
  // is also written to the structured log.
  EventRing(std::string process_name, size_t capacity);

  // Records an event that happens now.
  void Record(EventCode code,
              std::string_view request_id,
              std::string_view detail);

  // The Lamport time to send with a message to another process.
  uint64_t StampOutgoing() { return ++lamport_; }

  // Notes the Lamport time that came with a message.
  void ObserveIncoming(uint64_t lamport);

  // The kept events with a sequence of at least `from`.
  std::vector<Event> Since(uint64_t from) const;

  const std::string& process_name() const { return process_name_; }

 private:
  const std::string process_name_;
  const size_t capacity_;
  uint64_t next_sequence_ = 1;
  uint64_t lamport_ = 0;
  std::deque<Event> events_;
};

// `events` as the JSON that a process serves at GET /v1/events:
// {"process":…,"events":[{"sequence","lamport","wall_ns","code","name",
// "request_id","detail"}]}.
std::string EventsToJson(std::string_view process_name,
                         const std::vector<Event>& events);

}  // namespace wasabi::core

#endif  // LIBCORE_EVENT_RING_H_
