// Encodes the bodies of the records that the project's daemons append:
// MessagePack in Base64, since the log transfers records as JSON strings.

#ifndef LIBPLATFORM_RECORD_TEXT_H_
#define LIBPLATFORM_RECORD_TEXT_H_

#include <string>
#include <string_view>

#include "LibCore/message.h"
#include "LibCore/try.h"
#include "absl/status/statusor.h"

namespace wasabi::platform {

// Returns `bytes` as Base64.
std::string EncodeBase64(std::string_view bytes);

// Decodes Base64. Error: ResultCode::kMalformedRecord when `text` is not valid
// Base64.
absl::StatusOr<std::string> DecodeBase64(std::string_view text);

// Returns the beginning of `bytes`, which another program wrote, for a line of
// the log: everything but visible ASCII is escaped.
std::string PrintableText(std::string_view bytes);

// Returns the record body that holds `message`.
template <typename Message>
std::string EncodeRecord(const Message& message) {
  return EncodeBase64(core::Encode(message));
}

// Returns the message in a record body. Error: ResultCode::kMalformedRecord
// when `text` holds no such message.
template <typename Message>
absl::StatusOr<Message> DecodeRecord(std::string_view text) {
  TRY_ASSIGN(const std::string bytes, DecodeBase64(text));
  absl::StatusOr<Message> message = core::Decode<Message>(bytes);
  if (!message.ok()) {
    return core::MakeStatus(core::ResultCode::kMalformedRecord,
                            message.status().ToString());
  }
  return message;
}

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_RECORD_TEXT_H_
