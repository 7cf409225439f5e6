// Incremental parser that extracts the data fields from a body of server-sent
// events.

#ifndef UTILITIES_LOAD_EVENT_STREAM_H_
#define UTILITIES_LOAD_EVENT_STREAM_H_

#include <functional>
#include <string>
#include <string_view>

namespace wasabi::load {

class EventStream {
 public:
  // Appends a chunk of the body and calls `on_event` with the data of each
  // event that this chunk completes.
  void Feed(std::string_view bytes,
            const std::function<void(std::string_view data)>& on_event);

 private:
  // The received bytes of the last, incomplete event.
  std::string rest_;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_EVENT_STREAM_H_
