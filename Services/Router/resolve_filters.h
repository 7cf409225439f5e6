// Filters that look up the pool that serves a request.

#ifndef SERVICES_ROUTER_RESOLVE_FILTERS_H_
#define SERVICES_ROUTER_RESOLVE_FILTERS_H_

#include "Services/Router/filter.h"

namespace wasabi::router {

// Looks up the pool of the requested model. Returns kUnknownModel if the
// deployment has no such model.
class ResolveModelFilter : public Filter {
 public:
  absl::Status Apply(RequestContext* context) override;
};

// Looks up the plain service named in the path and reads the idempotency key.
// Returns kUnknownService, kMissingIdempotencyKey, or kMalformedRequest for a
// key that is too long.
class ResolveServiceFilter : public Filter {
 public:
  absl::Status Apply(RequestContext* context) override;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_RESOLVE_FILTERS_H_
