#include "LibHttp/answer_syntax.h"

#include <algorithm>

namespace wasabi::http {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
// The start of every status line, up to the minor version.
constexpr std::string_view kVersionStart = "HTTP/1.";
constexpr size_t kVersionLength = kVersionStart.size() + 1;
constexpr size_t kStatusDigits = 3;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// RFC 9110, 5.6.2.
bool IsTokenCharacter(char c) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         kOthers.find(c) != std::string_view::npos;
}

// RFC 9110, 5.5; bytes over 0x7F are allowed.
bool IsTextCharacter(char c) {
  constexpr unsigned char kDelete = 0x7F;
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && byte != kDelete);
}

bool IsText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTextCharacter);
}

// Returns whether a status line may begin with `start`.
bool MayBeginStatusLine(std::string_view start) {
  const size_t n = std::min(start.size(), kVersionStart.size());
  return start.substr(0, n) == kVersionStart.substr(0, n);
}

}  // namespace

std::optional<int> ParseStatusLine(std::string_view line) {
  constexpr size_t kStatusAt = kVersionLength + 1;
  constexpr size_t kReasonAt = kStatusAt + kStatusDigits + 1;
  if (line.size() < kReasonAt || !line.starts_with(kVersionStart) ||
      (line[kVersionStart.size()] != '0' &&
       line[kVersionStart.size()] != '1') ||
      line[kVersionLength] != ' ' || line[kReasonAt - 1] != ' ' ||
      !IsText(line.substr(kReasonAt))) {
    return std::nullopt;
  }
  int status = 0;
  for (const char it : line.substr(kStatusAt, kStatusDigits)) {
    if (!IsDigit(it)) {
      return std::nullopt;
    }
    status = status * 10 + (it - '0');
  }
  const bool is_status = status >= kMinStatus && status <= kMaxStatus &&
                         status != kSwitchingProtocols;
  return is_status ? std::optional(status) : std::nullopt;
}

bool IsFieldLine(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  return std::all_of(name.begin(), name.end(), IsTokenCharacter) &&
         IsText(line.substr(colon + 1));
}

AnswerHeadState AnswerHeadChecker::Check(std::string_view bytes) {
  while (state_ == AnswerHeadState::kIncomplete) {
    const std::string_view rest = bytes.substr(checked_bytes_);
    const size_t end = rest.find('\n');
    if (end == std::string_view::npos) {
      const bool may_go_on = has_status_ || MayBeginStatusLine(rest);
      return may_go_on ? state_ : AnswerHeadState::kMalformed;
    }
    checked_bytes_ += end + 1;
    TakeLine(rest.substr(0, end + 1));
  }
  return state_;
}

AnswerHeadState AnswerHeadChecker::TakeLine(std::string_view line) {
  if (state_ == AnswerHeadState::kMalformed || !line.ends_with(kLineEnd)) {
    state_ = AnswerHeadState::kMalformed;
    return state_;
  }
  line.remove_suffix(kLineEnd.size());
  if (!has_status_) {
    has_status_ = ParseStatusLine(line).has_value();
    state_ = has_status_ ? state_ : AnswerHeadState::kMalformed;
  } else if (line.empty()) {
    state_ = AnswerHeadState::kComplete;
  } else if (!IsFieldLine(line)) {
    state_ = AnswerHeadState::kMalformed;
  }
  return state_;
}

}  // namespace wasabi::http
