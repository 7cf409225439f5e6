// Splits a text/event-stream body into complete events, so that an interrupted
// stream can be resumed after the last complete one. Checks that events consist
// of fields and that their ids increase.

#ifndef LIBFORWARDING_EVENT_SPLITTER_H_
#define LIBFORWARDING_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabi::forwarding {

class EventSplitter {
 public:
  // `resume_after` is the id of the last event before this body, if any.
  explicit EventSplitter(std::optional<uint64_t> resume_after = std::nullopt)
      : last_event_id_(resume_after) {}

  // Appends `bytes` and returns the events that are now complete, up to the
  // first one that is invalid.
  std::string Add(std::string_view bytes);

  // Returns the bytes after the last complete event.
  std::string_view remainder() const { return buffer_; }

  // The id of the last complete event that has a numeric one, or `resume_after`
  // if there is none yet.
  std::optional<uint64_t> last_event_id() const { return last_event_id_; }
  // True once at least one event with an id was complete.
  bool has_events() const { return has_events_; }
  // False once an event had a line that is no field, no id, or an id that is
  // not greater than the one before it. Comments need no id.
  bool is_valid() const { return is_valid_; }
  // Number of bytes since the last event whose id was greater than the one
  // before it.
  size_t bytes_without_event() const {
    return bytes_without_event_ + buffer_.size();
  }

 private:
  // Handles complete events. Returns the length of those before the first one
  // that is invalid.
  size_t RecordEvents(std::string_view events);
  // Handles one event, which ends with its blank line.
  void RecordEvent(std::string_view event);

  std::string buffer_;
  // Position in `buffer_` from which to search for the end of an event.
  size_t searched_ = 0;
  std::optional<uint64_t> last_event_id_;
  size_t bytes_without_event_ = 0;
  bool has_events_ = false;
  bool is_valid_ = true;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_EVENT_SPLITTER_H_
