// Stable hashing: every host computes the same value for the same input, so
// hashes may decide placement and ownership across the fleet.

#ifndef LIBCORE_HASH_H_
#define LIBCORE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wasabi::core {

// Returns the 64-bit XXH3 hash of `bytes` with `seed`.
uint64_t StableHash(std::string_view bytes, uint64_t seed = 0);

// Combines two hashes into one; the order of the arguments matters.
uint64_t CombineHashes(uint64_t first, uint64_t second);

// Returns the 128-bit XXH3 hash of `bytes` as 32 hexadecimal digits.
std::string ContentDigest(std::string_view bytes);

}  // namespace wasabi::core

#endif  // LIBCORE_HASH_H_
