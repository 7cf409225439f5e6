// Splits a text/event-stream body into complete events, so that an interrupted
// stream can be resumed after the last complete one.

#ifndef LIBFORWARDING_EVENT_SPLITTER_H_
#define LIBFORWARDING_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabi::forwarding {

class EventSplitter {
 public:
  // Appends `bytes` and returns the events that are now complete.
  std::string Add(std::string_view bytes);

  // Returns the bytes after the last complete event.
  std::string_view remainder() const { return buffer_; }

  // The id of the last complete event that has a numeric one; nullopt if there
  // is none yet.
  std::optional<uint64_t> last_event_id() const { return last_event_id_; }
  // True once at least one event was complete.
  bool has_events() const { return has_events_; }

 private:
  void RecordEventIds(std::string_view events);

  std::string buffer_;
  // Position in `buffer_` from which to search for the end of an event.
  size_t searched_ = 0;
  std::optional<uint64_t> last_event_id_;
  bool has_events_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_EVENT_SPLITTER_H_
