// Bodies of the records that our daemons append: MessagePack, as Base64 since
// the log carries its records in JSON strings.

#ifndef LIBPLATFORM_RECORD_TEXT_H_
#define LIBPLATFORM_RECORD_TEXT_H_

#include <string>
#include <string_view>

#include "LibCore/message.h"
#include "LibCore/try.h"
#include "absl/status/statusor.h"

namespace wasabi::platform {

// `bytes` as Base64.
std::string BytesToText(std::string_view bytes);

// The bytes of a Base64 text; ResultCode::kMalformedRecord when it is none.
absl::StatusOr<std::string> TextToBytes(std::string_view text);

// The record body that holds `message`.
template <typename Message>
std::string EncodeRecord(const Message& message) {
  return BytesToText(core::Encode(message));
}

// The message in a record body; ResultCode::kMalformedRecord when it is none.
template <typename Message>
absl::StatusOr<Message> DecodeRecord(std::string_view text) {
  TRY_ASSIGN(const std::string bytes, TextToBytes(text));
  absl::StatusOr<Message> message = core::Decode<Message>(bytes);
  if (!message.ok()) {
    return core::MakeStatus(core::ResultCode::kMalformedRecord,
                            message.status().ToString());
  }
  return message;
}

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_RECORD_TEXT_H_
