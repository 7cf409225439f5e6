// A seeded pseudo-random number generator, passed to the code that needs one.

#ifndef LIBCORE_RANDOM_SOURCE_H_
#define LIBCORE_RANDOM_SOURCE_H_

#include <cstdint>

namespace wasabi::core {

// SplitMix64: a small state, and the same sequence on every platform.
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : state_(seed) {}

  // Returns the next 64 uniformly distributed bits.
  uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
  }

  // Returns a number in [0, bound); `bound` must be positive.
  uint64_t Below(uint64_t bound) { return Next() % bound; }

  // Returns a number in [0, 1).
  double Unit() {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53.
    return static_cast<double>(Next() >> 11U) * kScale;
  }

 private:
  uint64_t state_;
};

}  // namespace wasabi::core

#endif  // LIBCORE_RANDOM_SOURCE_H_
