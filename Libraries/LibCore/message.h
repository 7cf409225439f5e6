// Encodes the typed messages between the project's own processes. A message is
// a struct with MSGPACK_DEFINE; its encoding is a MessagePack array without
// field names, which keeps control traffic small.

#ifndef LIBCORE_MESSAGE_H_
#define LIBCORE_MESSAGE_H_

#include <exception>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "LibCore/result_code.h"
#include "absl/status/statusor.h"

namespace wasabi::core {

// Returns the encoding of `message`.
template <typename Message>
std::string Encode(const Message& message) {
  msgpack::sbuffer buf;
  msgpack::pack(buf, message);
  return {buf.data(), buf.size()};
}

// Returns the message that `bytes` encodes. Error:
// ResultCode::kMalformedMessage. The limits bound the memory that a hostile
// length field can make the decoder allocate.
template <typename Message>
absl::StatusOr<Message> Decode(std::string_view bytes) {
  constexpr size_t kMaxElements = 1U << 16U;
  constexpr size_t kMaxBytes = 1U << 24U;
  constexpr size_t kMaxDepth = 32;
  const msgpack::unpack_limit limit(kMaxElements, kMaxElements, kMaxBytes,
                                    kMaxBytes, kMaxBytes, kMaxDepth);
  try {
    size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      return MakeStatus(ResultCode::kMalformedMessage,
                        "message is followed by trailing bytes");
    }
    return handle.get().as<Message>();
  } catch (const std::exception& error) {
    return MakeStatus(ResultCode::kMalformedMessage, error.what());
  }
}

}  // namespace wasabi::core

#endif  // LIBCORE_MESSAGE_H_
