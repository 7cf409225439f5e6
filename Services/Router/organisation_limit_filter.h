// Enforces the request rate of each organisation.

#ifndef SERVICES_ROUTER_ORGANISATION_LIMIT_FILTER_H_
#define SERVICES_ROUTER_ORGANISATION_LIMIT_FILTER_H_

#include "LibRouting/rate_limiter.h"
#include "Services/Router/filter.h"

namespace wasabi::router {

// Consumes one request from the organisation's rate limiter. `limiter` must
// outlive the filter.
class OrganisationLimitFilter : public Filter {
 public:
  explicit OrganisationLimitFilter(routing::RateLimiter* limiter)
      : limiter_(limiter) {}

  // Returns kOrganisationLimit with the time until the next request is allowed.
  // A call that may not be repeated is only marked with `is_over_rate_limit`:
  // an earlier call with its key may have run, so the entry router cannot
  // report that it did not run.
  absl::Status Apply(RequestContext* context) override;

 private:
  routing::RateLimiter* limiter_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ORGANISATION_LIMIT_FILTER_H_
