// A token bucket: limits an average rate and allows bursts up to a fixed size.

#ifndef LIBMEMBERSHIP_TOKEN_BUCKET_H_
#define LIBMEMBERSHIP_TOKEN_BUCKET_H_

#include <algorithm>

#include "LibCore/time.h"

namespace wasabi::membership {

class TokenBucket {
 public:
  // Creates a full bucket that holds up to `burst` tokens.
  TokenBucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  // Takes `amount` tokens and returns true, or takes none and returns false if
  // fewer are available.
  bool TryTake(double amount, core::TimePoint now) {
    Refill(now);
    if (amount > tokens_) {
      return false;
    }
    tokens_ -= amount;
    return true;
  }

  // Returns the number of tokens that can be taken now.
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
