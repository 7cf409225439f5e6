// Keeps organisations within their request rates.

#ifndef SERVICES_ROUTER_ORGANISATION_LIMIT_FILTER_H_
#define SERVICES_ROUTER_ORGANISATION_LIMIT_FILTER_H_

#include "LibRouting/rate_limiter.h"
#include "Services/Router/filter.h"

namespace wasabi::router {

class OrganisationLimitFilter : public Filter {
 public:
  explicit OrganisationLimitFilter(routing::RateLimiter* limiter)
      : limiter_(limiter) {}

  // kOrganisationLimit with the time until the next request may come. A call
  // that may not be repeated is only marked: an earlier call with its key may
  // have run, so the entry can't say that it does not run.
  absl::Status Apply(RequestContext* context) override;

 private:
  routing::RateLimiter* limiter_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ORGANISATION_LIMIT_FILTER_H_
