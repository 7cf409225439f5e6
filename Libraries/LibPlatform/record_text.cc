#include "LibPlatform/record_text.h"

#include <absl/strings/escaping.h>

namespace wasabi::platform {

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()), &text);
  return text;
}

absl::StatusOr<std::string> DecodeBase64(std::string_view text) {
  std::string bytes;
  if (!absl::Base64Unescape(absl::string_view(text.data(), text.size()),
                            &bytes)) {
    return core::MakeStatus(core::ResultCode::kMalformedRecord,
                            "the record body is not valid Base64");
  }
  return bytes;
}

std::string PrintableText(std::string_view bytes) {
  constexpr size_t kMaxLoggedBytes = 512;
  const auto start = bytes.substr(0, kMaxLoggedBytes);
  return absl::CHexEscape(absl::string_view(start.data(), start.size()));
}

}  // namespace wasabi::platform
