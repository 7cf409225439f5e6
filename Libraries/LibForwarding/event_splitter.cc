#include "LibForwarding/event_splitter.h"

#include <algorithm>

#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

constexpr std::string_view kIdField = "id:";

// Returns the position after the last blank line of `text`, or npos if there is
// none. Lines end in "\n" or "\r\n".
size_t EndOfLastEvent(std::string_view text) {
  size_t best = std::string_view::npos;
  for (const std::string_view mark :
       {std::string_view("\n\n"), std::string_view("\n\r\n")}) {
    const size_t position = text.rfind(mark);
    if (position == std::string_view::npos) {
      continue;
    }
    const size_t end = position + mark.size();
    best = best == std::string_view::npos ? end : std::max(best, end);
  }
  return best;
}

}  // namespace

std::string EventSplitter::Add(std::string_view bytes) {
  buffer_.append(bytes);
  // The blank line may span the buffered and the new bytes.
  constexpr size_t kBlankLineOverlap = 3;
  const size_t from =
      searched_ > kBlankLineOverlap ? searched_ - kBlankLineOverlap : 0;
  const size_t end = EndOfLastEvent(std::string_view(buffer_).substr(from));
  if (end == std::string_view::npos) {
    searched_ = buffer_.size();
    return {};
  }
  std::string events = buffer_.substr(0, from + end);
  buffer_.erase(0, from + end);
  searched_ = buffer_.size();
  has_events_ = true;
  RecordEventIds(events);
  return events;
}

void EventSplitter::RecordEventIds(std::string_view events) {
  size_t start = 0;
  while (start < events.size()) {
    size_t end = events.find('\n', start);
    end = end == std::string_view::npos ? events.size() : end;
    const std::string_view line = events.substr(start, end - start);
    if (line.substr(0, kIdField.size()) == kIdField) {
      const auto id =
          core::ParseNumber<uint64_t>(core::Trim(line.substr(kIdField.size())));
      if (id) {
        last_event_id_ = id;
      }
    }
    start = end + 1;
  }
}

}  // namespace wasabi::forwarding
