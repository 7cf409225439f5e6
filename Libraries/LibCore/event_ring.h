// The bounded ring buffer of a process's latest events, with its Lamport clock.

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
  // Keeps at most `capacity` events and drops the oldest first. Every event is
  // also written to the structured log.
  EventRing(std::string process_name, size_t capacity);

  // Records an event at the current time.
  void Record(EventCode code,
              std::string_view request_id,
              std::string_view detail);

  // Advances the Lamport clock and returns the timestamp to send with a message
  // to another process.
  uint64_t StampOutgoing() { return ++lamport_; }

  // Advances the Lamport clock past the timestamp of a received message.
  void ObserveIncoming(uint64_t lamport);

  // Returns the retained events whose sequence is at least `from`.
  std::vector<Event> Since(uint64_t from) const;

  const std::string& process_name() const { return process_name_; }

 private:
  const std::string process_name_;
  const size_t capacity_;
  uint64_t next_sequence_ = 1;
  uint64_t lamport_ = 0;
  std::deque<Event> events_;
};

// Returns `events` as the JSON that a process serves at GET /v1/events:
// {"process":…,"events":[{"sequence","lamport","wall_ns","code","name",
// "request_id","detail"}]}.
std::string EventsToJson(std::string_view process_name,
                         const std::vector<Event>& events);

}  // namespace wasabi::core

#endif  // LIBCORE_EVENT_RING_H_
