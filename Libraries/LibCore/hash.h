// Stable hashing. Every host computes the same value for the same input, so
// hashes may decide placement and ownership across the fleet.

#ifndef LIBCORE_HASH_H_
#define LIBCORE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wasabi::core {

// 64-bit XXH3 of `bytes` under `seed`.
uint64_t StableHash(std::string_view bytes, uint64_t seed = 0);

// Mixes two hashes into one; the order matters.
uint64_t CombineHashes(uint64_t first, uint64_t second);

// 128-bit XXH3 of `bytes` as 32 hexadecimal digits.
std::string ContentDigest(std::string_view bytes);

}  // namespace wasabi::core

#endif  // LIBCORE_HASH_H_
