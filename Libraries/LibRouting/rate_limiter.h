// The rate limits of organisations. A limit holds over the whole fleet; each
// router enforces its share, so that they need not talk about it.

#ifndef LIBROUTING_RATE_LIMITER_H_
#define LIBROUTING_RATE_LIMITER_H_

#include <cstdint>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::routing {

class RateLimiter {
 public:
  // The number of routers that share the limits; at least one.
  void SetRouterCount(uint32_t routers);

  // Takes one request of `organisation`, whose limit over the fleet is
  // `requests_per_second` (0 means none). Zero where it may go on, else the
  // time until the next one may.
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
