#include "LibForwarding/event_splitter.h"

#include <algorithm>

#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

constexpr std::string_view kIdField = "id:";
constexpr char kCommentMark = ':';
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyz0123456789-_";

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

// Returns whether `line` is a field of an event: a name, and a value unless the
// field is empty.
bool IsField(std::string_view line) {
  const size_t end = line.find_first_not_of(kNameCharacters);
  return end == std::string_view::npos ? line == "data"
                                       : end > 0 && line[end] == ':';
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
  events.resize(RecordEvents(events));
  return events;
}

size_t EventSplitter::RecordEvents(std::string_view events) {
  size_t start = 0;
  size_t line_start = 0;
  while (line_start < events.size() && is_valid_) {
    size_t end = events.find('\n', line_start);
    end = end == std::string_view::npos ? events.size() : end + 1;
    const std::string_view line = events.substr(line_start, end - line_start);
    if (line == "\n" || line == "\r\n") {
      RecordEvent(events.substr(start, end - start));
      start = is_valid_ ? end : start;
    }
    line_start = end;
  }
  return start;
}

void EventSplitter::RecordEvent(std::string_view event) {
  std::optional<uint64_t> id;
  bool is_comment = true;
  bool has_only_fields = true;
  for (size_t start = 0; start < event.size();) {
    size_t end = event.find('\n', start);
    end = end == std::string_view::npos ? event.size() : end;
    const std::string_view line = core::Trim(event.substr(start, end - start));
    const bool is_field = !line.empty() && line.front() != kCommentMark;
    is_comment = is_comment && !is_field;
    has_only_fields = has_only_fields && (!is_field || IsField(line));
    if (line.starts_with(kIdField)) {
      id =
          core::ParseNumber<uint64_t>(core::Trim(line.substr(kIdField.size())));
    }
    start = end + 1;
  }
  const bool advances =
      has_only_fields && id && (!last_event_id_ || *id > *last_event_id_);
  is_valid_ = is_valid_ && has_only_fields && (advances || is_comment);
  has_events_ = has_events_ || advances;
  bytes_without_event_ = advances ? 0 : bytes_without_event_ + event.size();
  last_event_id_ = advances ? id : last_event_id_;
}

}  // namespace wasabi::forwarding
