#include "Utilities/Load/event_stream.h"

namespace wasabi::load {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data: ";

}  // namespace

void EventStream::Feed(
    std::string_view bytes,
    const std::function<void(std::string_view data)>& on_event) {
  rest_ += bytes;
  // The callback may end the stream's owner, so the loop parses a copy.
  const std::string text = rest_;
  size_t begin = 0;
  size_t end = text.find(kEventEnd);
  while (end != std::string::npos) {
    const std::string_view event =
        std::string_view(text).substr(begin, end - begin);
    begin = end + kEventEnd.size();
    end = text.find(kEventEnd, begin);
    rest_ = text.substr(begin);
    if (event.starts_with(kDataField)) {
      on_event(event.substr(kDataField.size()));
    }
  }
}

}  // namespace wasabi::load
