// Compression of larger messages between processes, by zlib.

#ifndef LIBCORE_COMPRESSION_H_
#define LIBCORE_COMPRESSION_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace wasabi::core {

// `bytes` compressed, with their length before them.
std::string Compress(std::string_view bytes);

// The bytes that `compressed` stands for, at most `max_bytes` of them.
// ResultCode::kMalformedMessage otherwise.
absl::StatusOr<std::string> Decompress(std::string_view compressed,
                                       size_t max_bytes);

}  // namespace wasabi::core

#endif  // LIBCORE_COMPRESSION_H_
