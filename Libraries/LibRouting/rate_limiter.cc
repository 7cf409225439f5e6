#include "LibRouting/rate_limiter.h"

#include <algorithm>

namespace wasabi::routing {

void RateLimiter::SetRouterCount(uint32_t routers) {
  routers_ = std::max(1U, routers);
}

core::Duration RateLimiter::Take(const core::OrganisationId& organisation,
                                 double requests_per_second,
                                 core::TimePoint now) {
  // Bucket capacity, in seconds of the router's share of the rate.
  constexpr double kBurstSeconds = 2;
  constexpr core::Duration kMinimumWait = core::milliseconds(1);
  if (requests_per_second <= 0) {
    buckets_.erase(organisation);
    return core::Duration::zero();
  }
  const double rate = requests_per_second / routers_;
  const double burst = std::max(1.0, rate * kBurstSeconds);
  const auto [it, is_new] =
      buckets_.try_emplace(organisation, TokenBucket{burst, now});
  TokenBucket& bucket = it->second;
  const core::Duration elapsed =
      std::max(core::Duration::zero(), now - bucket.updated);
  bucket.tokens =
      std::min(burst, bucket.tokens + rate * core::ToSeconds(elapsed));
  bucket.updated = std::max(bucket.updated, now);
  if (bucket.tokens < 1) {
    // Zero would mean admitted, so a rounding error must not reduce the wait to
    // it.
    return std::max<core::Duration>(
        kMinimumWait, core::FromSeconds((1 - bucket.tokens) / rate));
  }
  bucket.tokens -= 1;
  return core::Duration::zero();
}

}  // namespace wasabi::routing
