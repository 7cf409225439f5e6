// Text helpers for std::string_view. Debian builds Abseil with its own string
// view type, so formatting uses fmt and parsing uses the standard library.

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

// Parses the whole of `text` as a number; nullopt if that fails.
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

// Parses "true" or "false"; nullopt for any other text.
std::optional<bool> ParseBoolean(std::string_view text);

// Returns `text` without leading and trailing whitespace.
std::string_view Trim(std::string_view text);

// Splits `text` at each `separator`. The parts are trimmed and empty ones
// omitted.
std::vector<std::string> SplitList(std::string_view text, char separator = ',');

// Returns `text` with ASCII letters in lower case.
std::string ToLower(std::string_view text);

// Returns the message of `status` as a std::string.
std::string MessageOf(const absl::Status& status);

}  // namespace wasabi::core

#endif  // LIBCORE_TEXT_H_
