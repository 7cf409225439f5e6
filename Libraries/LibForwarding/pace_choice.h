// Applies what is known of the pace of endpoints to the choice among them.

#ifndef LIBFORWARDING_PACE_CHOICE_H_
#define LIBFORWARDING_PACE_CHOICE_H_

#include <span>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/caller_needs.h"
#include "LibForwarding/endpoint_pace.h"
#include "LibForwarding/endpoint_selector.h"

namespace wasabi::forwarding {

// Sets the pace of each of `candidates`, which are `endpoints` with their loads
// and shares, and whether a request with `needs` would miss its gap objective
// there. An endpoint where the request would come near one of its objectives
// gets a share of the requests that prefer it in proportion to its speed. Where
// a slower pace does not endanger an objective, nothing changes: the request
// stays where its prompt is cached. While most endpoints are slow, only those
// count as slow that are still slower.
void ApplyPaces(const EndpointPace& paces,
                const core::PoolId& pool,
                std::span<const core::RunnerId* const> endpoints,
                const CallerNeeds& needs,
                core::TimePoint now,
                std::span<EndpointCandidate> candidates);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PACE_CHOICE_H_
