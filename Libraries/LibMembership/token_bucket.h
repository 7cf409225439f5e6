// A limit on a rate, with room for bursts.

#ifndef LIBMEMBERSHIP_TOKEN_BUCKET_H_
#define LIBMEMBERSHIP_TOKEN_BUCKET_H_

#include <algorithm>

#include "LibCore/time.h"

namespace wasabi::membership {

class TokenBucket {
 public:
  TokenBucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  // Takes `amount` where it is there, else nothing.
  bool TryTake(double amount, core::TimePoint now) {
    Refill(now);
    if (amount > tokens_) {
      return false;
    }
    tokens_ -= amount;
    return true;
  }

  // What TryTake would give now.
  double Available(core::TimePoint now) {
    Refill(now);
    return tokens_;
  }

 private:
  void Refill(core::TimePoint now) {
    if (now > refilled_at_) {
      const double elapsed = core::ToSeconds(now - refilled_at_);
      tokens_ = std::min(burst_, tokens_ + elapsed * per_second_);
      refilled_at_ = now;
    }
  }

  const double per_second_;
  const double burst_;
  double tokens_;
  core::TimePoint refilled_at_{};
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_TOKEN_BUCKET_H_
