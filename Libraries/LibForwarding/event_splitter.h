// Cuts a text/event-stream body into whole events, so that a stream that breaks
// off can be continued after the last whole one.

#ifndef LIBFORWARDING_EVENT_SPLITTER_H_
#define LIBFORWARDING_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabi::forwarding {

class EventSplitter {
 public:
  // Takes bytes and returns the whole events that are complete now.
  std::string Add(std::string_view bytes);

  // Takes and returns the bytes after the last whole event.
  std::string TakeRest();

  // The id of the last whole event; nullopt before the first one with an id.
  std::optional<uint64_t> last_event_id() const { return last_event_id_; }
  bool has_rest() const { return !buffer_.empty(); }

 private:
  void NoteIds(std::string_view events);

  std::string buffer_;
  // Position in `buffer_` from which the end of an event is searched.
  size_t searched_ = 0;
  std::optional<uint64_t> last_event_id_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_EVENT_SPLITTER_H_
