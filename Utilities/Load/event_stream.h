// Splits a body of server-sent events into the data of its events.

#ifndef UTILITIES_LOAD_EVENT_STREAM_H_
#define UTILITIES_LOAD_EVENT_STREAM_H_

#include <functional>
#include <string>
#include <string_view>

namespace wasabi::load {

class EventStream {
 public:
  // Adds a piece of the body and calls `on_event` with the data of each event
  // that it completes.
  void Feed(std::string_view bytes,
            const std::function<void(std::string_view data)>& on_event);

 private:
  // The bytes of the event that is not complete yet.
  std::string rest_;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_EVENT_STREAM_H_
