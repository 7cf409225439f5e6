// Find the pool that serves a request.

#ifndef SERVICES_ROUTER_RESOLVE_FILTERS_H_
#define SERVICES_ROUTER_RESOLVE_FILTERS_H_

#include "Services/Router/filter.h"

namespace wasabi::router {

// Finds the pool of the request's model; kUnknownModel.
class ResolveModelFilter : public Filter {
 public:
  absl::Status Apply(RequestContext* context) override;
};

// Finds the plain service that a path names, and the call's idempotency key;
// kUnknownService, kMissingIdempotencyKey.
class ResolveServiceFilter : public Filter {
 public:
  absl::Status Apply(RequestContext* context) override;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_RESOLVE_FILTERS_H_
