// Exponential backoff with jitter.

#ifndef LIBPLATFORM_BACKOFF_H_
#define LIBPLATFORM_BACKOFF_H_

#include <algorithm>
#include <cstdint>

#include "LibCore/random_source.h"
#include "LibCore/time.h"

namespace wasabi::platform {

class Backoff {
 public:
  // The first delay is about `minimum`; each further one about twice the one
  // before, up to `maximum`.
  Backoff(core::Duration minimum, core::Duration maximum, uint64_t seed)
      : minimum_(minimum), maximum_(maximum), next_(minimum), random_(seed) {}

  // The delay before the next try: between one half and the whole of the
  // current step, so that hosts that failed together don't return together.
  core::Duration Next() {
    const core::Duration step = std::min(maximum_, next_);
    next_ = std::min(maximum_, step * 2);
    const double share = 0.5 + random_.Unit() / 2;
    return core::FromSeconds(core::ToSeconds(step) * share);
  }

  // Takes effect with the next delay.
  void SetMaximum(core::Duration maximum) { maximum_ = maximum; }

  // Starts over after a success.
  void Reset() { next_ = minimum_; }

 private:
  const core::Duration minimum_;
  core::Duration maximum_;
  core::Duration next_;
  core::RandomSource random_;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_BACKOFF_H_
