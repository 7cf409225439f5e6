// Small text helpers over std::string_view. Debian builds Abseil with a string
// view type of its own, so formatting goes through fmt and parsing through the
// standard library.

#ifndef LIBCORE_TEXT_H_
#define LIBCORE_TEXT_H_

#include <fmt/format.h>

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace wasabi::core {

// The number that makes up the whole of `text`.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

// "true" or "false".
std::optional<bool> ParseBoolean(std::string_view text);

// `text` without blanks at both ends.
std::string_view Trim(std::string_view text);

// The parts of `text` between `separator`, trimmed, without empty ones.
std::vector<std::string> SplitList(std::string_view text, char separator = ',');

// `text` in lower case (ASCII).
std::string ToLower(std::string_view text);

// The message of `status`.
std::string MessageOf(const absl::Status& status);

}  // namespace wasabi::core

#endif  // LIBCORE_TEXT_H_
