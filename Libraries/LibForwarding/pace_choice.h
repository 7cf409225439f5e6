// Applies what is known of the pace of endpoints to the choice among them.

#ifndef LIBFORWARDING_PACE_CHOICE_H_
#define LIBFORWARDING_PACE_CHOICE_H_

#include <span>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/endpoint_pace.h"
#include "LibForwarding/endpoint_selector.h"

namespace wasabi::forwarding {

// Sets the pace of each of `candidates`, which are `endpoints` with their loads
// and shares, and whether a request would miss `gap_objective` there. A slower
// endpoint gets a share of the requests that prefer it in proportion to its
// speed. While most endpoints are slow, only those count as slow that are still
// slower.
void ApplyPaces(const EndpointPace& paces,
                const core::PoolId& pool,
                std::span<const core::RunnerId* const> endpoints,
                core::Duration gap_objective,
                core::TimePoint now,
                std::span<EndpointCandidate> candidates);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PACE_CHOICE_H_
