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
  // The first delay is about `minimum`; each later one is about twice the
  // previous delay, up to `maximum`.
  Backoff(core::Duration minimum, core::Duration maximum, uint64_t seed)
      : minimum_(minimum), maximum_(maximum), next_(minimum), random_(seed) {}

  // Returns the delay before the next attempt: between half and all of the
  // current step, so that hosts that failed at the same time do not retry at
  // the same time.
  core::Duration Next() {
    const core::Duration step = std::min(maximum_, next_);
    next_ = std::min(maximum_, step * 2);
    const double share = 0.5 + random_.Unit() / 2;
    return core::FromSeconds(core::ToSeconds(step) * share);
  }

  // Takes effect from the next delay on.
  void SetMaximum(core::Duration maximum) { maximum_ = maximum; }

  // Resets the delay to the minimum; called after a success.
  void Reset() { next_ = minimum_; }

 private:
  const core::Duration minimum_;
  core::Duration maximum_;
  core::Duration next_;
  core::RandomSource random_;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_BACKOFF_H_
