#include "LibLink/wire_format.h"

#include <algorithm>
#include <array>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::link {

namespace {

constexpr size_t kPrefixBytes = 4;
// Longer status messages are truncated to keep trailers small.
constexpr size_t kMaxStatusMessageBytes = 512;

bool IsPlain(char c) {
  return c > ' ' && c < '\x7f' && c != '%';
}

// Percent-encodes `text`, because header values can't contain control
// characters.
std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text.substr(0, kMaxStatusMessageBytes)) {
    if (IsPlain(c)) {
      escaped.push_back(c);
    } else {
      escaped += fmt::format("%{:02x}", static_cast<unsigned char>(c));
    }
  }
  return escaped;
}

std::optional<char> HexByte(std::string_view digits) {
  constexpr int kBase = 16;
  unsigned value = 0;
  const char* end = digits.data() + digits.size();
  const auto [rest, ec] = std::from_chars(digits.data(), end, value, kBase);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return static_cast<char>(value);
}

std::string Unescape(std::string_view text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    const std::optional<char> decoded = text[i] == '%' && i + 2 < text.size()
                                            ? HexByte(text.substr(i + 1, 2))
                                            : std::nullopt;
    plain.push_back(decoded.value_or(text[i]));
    i += decoded ? 2 : 0;
  }
  return plain;
}

uint32_t ReadPrefix(std::string_view bytes) {
  uint32_t length = 0;
  for (size_t i = 0; i < kPrefixBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

bool IsKnownCode(int code) {
  const auto table = core::ResultCodeTable();
  return std::any_of(table.begin(), table.end(), [code](const auto& entry) {
    return static_cast<int>(entry.code) == code;
  });
}

}  // namespace

std::string PathOf(CallKind kind) {
  return fmt::format("/{}", static_cast<int>(kind));
}

std::optional<CallKind> KindOf(std::string_view path) {
  if (path.empty() || path.front() != '/') {
    return std::nullopt;
  }
  const auto number = core::ParseNumber<int>(path.substr(1));
  if (!number || *number < static_cast<int>(kFirstCallKind) ||
      *number > static_cast<int>(kLastCallKind)) {
    return std::nullopt;
  }
  return static_cast<CallKind>(*number);
}

std::vector<HeaderField> StatusToTrailers(const absl::Status& status) {
  std::vector<HeaderField> trailers;
  trailers.push_back({std::string(kCodeTrailer),
                      std::to_string(static_cast<int>(core::CodeOf(status)))});
  if (status.ok()) {
    return trailers;
  }
  trailers.push_back(
      {std::string(kMessageTrailer), Escape(core::MessageOf(status))});
  if (const auto retry_after = core::RetryAfterOf(status)) {
    trailers.push_back({std::string(kRetryAfterTrailer),
                        std::to_string(core::ToMilliseconds(*retry_after))});
  }
  return trailers;
}

void StatusReader::AddField(std::string_view name, std::string_view value) {
  if (name == kCodeTrailer) {
    code_ = core::ParseNumber<int>(value);
  } else if (name == kMessageTrailer) {
    message_ = Unescape(value);
  } else if (name == kRetryAfterTrailer) {
    retry_after_ms_ = core::ParseNumber<int64_t>(value);
  }
}

absl::Status StatusReader::Status() const {
  if (!code_ || !IsKnownCode(*code_)) {
    return core::MakeStatus(core::ResultCode::kMalformedMessage,
                            "the response ended without a known status code");
  }
  const auto code = static_cast<core::ResultCode>(*code_);
  if (retry_after_ms_) {
    return core::MakeRefusal(code, message_,
                             core::milliseconds(*retry_after_ms_));
  }
  return core::MakeStatus(code, message_);
}

void AppendFramed(std::string_view message, std::string* buf) {
  const auto length = static_cast<uint32_t>(message.size());
  std::array<char, kPrefixBytes> prefix{};
  for (size_t i = 0; i < kPrefixBytes; ++i) {
    prefix[i] = static_cast<char>(length >> (8 * (kPrefixBytes - 1 - i)));
  }
  buf->append(prefix.data(), prefix.size());
  buf->append(message);
}

std::optional<size_t> MessageReader::Deliver(
    std::string_view bytes,
    const std::function<void(std::string_view)>& on_message) const {
  size_t offset = 0;
  while (bytes.size() - offset >= kPrefixBytes) {
    const size_t length = ReadPrefix(bytes.substr(offset));
    if (length > max_message_bytes_) {
      return std::nullopt;
    }
    if (bytes.size() - offset - kPrefixBytes < length) {
      break;
    }
    on_message(bytes.substr(offset + kPrefixBytes, length));
    offset += kPrefixBytes + length;
  }
  return offset;
}

bool MessageReader::Feed(
    std::string_view bytes,
    const std::function<void(std::string_view)>& on_message) {
  if (buffered_.empty()) {
    // Fast path: complete messages are delivered without copying them.
    const std::optional<size_t> taken = Deliver(bytes, on_message);
    if (taken) {
      buffered_.assign(bytes.substr(*taken));
    }
    return taken.has_value();
  }
  buffered_.append(bytes);
  const std::optional<size_t> taken = Deliver(buffered_, on_message);
  if (taken) {
    buffered_.erase(0, *taken);
  }
  return taken.has_value();
}

}  // namespace wasabi::link
