#include "LibCore/hash.h"

#include <xxhash.h>

#include "LibCore/text.h"

namespace wasabi::core {

uint64_t StableHash(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t CombineHashes(uint64_t first, uint64_t second) {
  uint64_t z =
      first ^ (second + 0x9e3779b97f4a7c15ULL + (first << 6U) + (first >> 2U));
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31U);
}

std::string ContentDigest(std::string_view bytes) {
  const XXH128_hash_t digest = XXH3_128bits(bytes.data(), bytes.size());
  return fmt::format("{:016x}{:016x}", digest.high64, digest.low64);
}

}  // namespace wasabi::core
