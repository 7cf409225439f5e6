// Grants permits at a rate that may change. Performs no I/O; the caller passes
// in the time.

#ifndef LIBFORWARDING_PERMIT_BUCKET_H_
#define LIBFORWARDING_PERMIT_BUCKET_H_

#include <algorithm>

#include "LibCore/time.h"

namespace wasabi::forwarding {

class PermitBucket {
 public:
  // Starts empty, as another host may have granted permits just before.
  explicit PermitBucket(core::TimePoint now) : PermitBucket(0, now) {}
  PermitBucket(double permits, core::TimePoint now)
      : permits_(permits), refilled_at_(now) {}

  // Takes a permit, at `per_second` permits a second since the last call.
  // Returns zero if there was one, otherwise the time until the next.
  core::Duration Take(double per_second, core::TimePoint now) {
    return Take(per_second, MaxPermits(per_second), now);
  }
  // As above, but keeps at most `max_permits` while nobody asks.
  core::Duration Take(double per_second,
                      double max_permits,
                      core::TimePoint now) {
    const double elapsed = core::ToSeconds(now - refilled_at_);
    permits_ =
        std::min(permits_ + std::max(elapsed, 0.0) * per_second, max_permits);
    refilled_at_ = now;
    if (permits_ < 1) {
      return core::FromSeconds((1 - permits_) / per_second);
    }
    permits_ -= 1;
    return core::Duration::zero();
  }

  core::TimePoint refilled_at() const { return refilled_at_; }

 private:
  // Permits that are kept while nobody asks: one, and those of half a second.
  static double MaxPermits(double per_second) { return 1 + per_second / 2; }

  double permits_;
  core::TimePoint refilled_at_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PERMIT_BUCKET_H_
