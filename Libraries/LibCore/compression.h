// Compresses messages between processes with zlib.

#ifndef LIBCORE_COMPRESSION_H_
#define LIBCORE_COMPRESSION_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace wasabi::core {

// Returns `bytes` compressed, preceded by their uncompressed length as four
// little-endian bytes.
std::string Compress(std::string_view bytes);

// Returns the original bytes of `compressed`, a result of Compress(). Error:
// ResultCode::kMalformedMessage when the input is invalid or its uncompressed
// length exceeds `max_bytes`.
absl::StatusOr<std::string> Decompress(std::string_view compressed,
                                       size_t max_bytes);

}  // namespace wasabi::core

#endif  // LIBCORE_COMPRESSION_H_
