#include "LibCore/text.h"

#include <algorithm>
#include <cctype>

namespace wasabi::core {

std::optional<bool> ParseBoolean(std::string_view text) {
  if (text == "true") {
    return true;
  }
  if (text == "false") {
    return false;
  }
  return std::nullopt;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r\n";
  const size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

std::vector<std::string> SplitList(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const size_t end = text.find(separator);
    const std::string_view part = Trim(text.substr(0, end));
    if (!part.empty()) {
      parts.emplace_back(part);
    }
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
  }
  return parts;
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return lower;
}

std::string MessageOf(const absl::Status& status) {
  return std::string(status.message());
}

}  // namespace wasabi::core
