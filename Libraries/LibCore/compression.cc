#include "LibCore/compression.h"

#include <zlib.h>

#include "LibCore/result_code.h"

namespace wasabi::core {

namespace {

constexpr size_t kLengthBytes = 4;

std::string EncodeLength(size_t length) {
  std::string bytes;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    bytes.push_back(static_cast<char>(length >> (8 * i)));
  }
  return bytes;
}

size_t DecodeLength(std::string_view bytes) {
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<size_t>(static_cast<unsigned char>(bytes[i]))
              << (8 * i);
  }
  return length;
}

}  // namespace

std::string Compress(std::string_view bytes) {
  std::string compressed = EncodeLength(bytes.size());
  uLongf size = compressBound(bytes.size());
  compressed.resize(kLengthBytes + size);
  // compressBound() is sufficient for every input, so compress2() can't run out
  // of space.
  compress2(reinterpret_cast<Bytef*>(compressed.data() + kLengthBytes), &size,
            reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(),
            Z_BEST_SPEED);
  compressed.resize(kLengthBytes + size);
  return compressed;
}

absl::StatusOr<std::string> Decompress(std::string_view compressed,
                                       size_t max_bytes) {
  if (compressed.size() < kLengthBytes) {
    return MakeStatus(ResultCode::kMalformedMessage,
                      "compressed message is shorter than its length prefix");
  }
  const size_t length = DecodeLength(compressed);
  compressed.remove_prefix(kLengthBytes);
  if (length > max_bytes) {
    return MakeStatus(ResultCode::kMalformedMessage,
                      "uncompressed length of the message exceeds the limit");
  }
  std::string bytes(length, '\0');
  uLongf size = length;
  const int result = uncompress(
      reinterpret_cast<Bytef*>(bytes.data()), &size,
      reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
  if (result != Z_OK || size != length) {
    return MakeStatus(ResultCode::kMalformedMessage,
                      "message can't be decompressed to its declared length");
  }
  return bytes;
}

}  // namespace wasabi::core
