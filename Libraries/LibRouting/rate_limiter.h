// Enforces the request rate limits of organisations. A limit applies to the
// whole fleet. Each router enforces an equal share of it, so routers need no
// coordination.

#ifndef LIBROUTING_RATE_LIMITER_H_
#define LIBROUTING_RATE_LIMITER_H_

#include <cstdint>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::routing {

// One token bucket per organisation.
class RateLimiter {
 public:
  // Sets the number of routers that share the limits. 0 is treated as 1.
  void SetRouterCount(uint32_t routers);

  // Takes a token for one request of `organisation`, whose limit for the whole
  // fleet is `requests_per_second` (0 means unlimited). Returns zero if the
  // request is admitted, otherwise the time until the next token is available.
  core::Duration Take(const core::OrganisationId& organisation,
                      double requests_per_second,
                      core::TimePoint now);

  size_t size() const { return buckets_.size(); }

 private:
  struct TokenBucket {
    double tokens = 0;
    core::TimePoint updated;
  };

  uint32_t routers_ = 1;
  absl::flat_hash_map<core::OrganisationId, TokenBucket> buckets_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_RATE_LIMITER_H_
