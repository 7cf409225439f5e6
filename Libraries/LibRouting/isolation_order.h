// Selects the runners for suspect requests, i.e. requests that were in flight
// when an endpoint crashed. See quarantine_table.h.

#ifndef LIBROUTING_ISOLATION_ORDER_H_
#define LIBROUTING_ISOLATION_ORDER_H_

#include <cstdint>
#include <vector>

#include "LibRouting/placement.h"

namespace wasabi::routing {

// Returns indices into `runners` in preference order for a suspect request. The
// order depends on the content digest, so that all copies of a request reach
// the same owner, which runs them one at a time. The first choices are limited
// to a third of the pool (at least one runner): each suspect needs a runner
// exclusively, and the other runners remain available to ordinary requests.
std::vector<size_t> IsolationOrder(const std::vector<RunnerView>& runners,
                                   uint64_t content_digest);

}  // namespace wasabi::routing

#endif  // LIBROUTING_ISOLATION_ORDER_H_
