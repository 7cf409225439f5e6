// Chooses the endpoint for a request. Pure decision code.
//
// A request whose prompt shares parts with others goes to the endpoint that
// rendezvous hashing prefers for them, so that they are read once. When that
// endpoint is above the load bound, the next one in the order takes the
// request. A prompt that is known to be hot spreads over the first endpoints of
// its order from the start: hosts hear of each other's load too late for that.

#ifndef LIBFORWARDING_ENDPOINT_SELECTOR_H_
#define LIBFORWARDING_ENDPOINT_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <span>

#include "LibCore/time.h"

namespace wasabi::forwarding {

// An endpoint as the selection sees it.
struct EndpointCandidate {
  // Stable hash of its id.
  uint64_t hash = 0;
  // Requests of the whole fleet there, and how many it processes at once.
  uint32_t load = 0;
  uint32_t slots = 1;
  // Share of the requests that prefer it which it is given (EndpointShares).
  double share = 1.0;
  // Recent share of failures.
  double failure_share = 0;
  // It could not be reached lately.
  bool is_down = false;
  // This request was there already.
  bool is_excluded = false;
  // It stands in this host's data centre.
  bool is_near = false;
};

struct SelectionPolicy {
  // Most load of one endpoint, as a multiple of the pool's mean.
  double load_bound = 2.0;
  // Each request draws its own bound between this share below `load_bound` and
  // `load_bound`. Hosts with old reports would otherwise all leave an endpoint
  // at the same time, and all come back to it at the same time.
  double bound_spread = 0;
  // Endpoints with a larger share of failures are avoided while half of the
  // pool has a smaller one.
  double max_failure_share = 0.25;
};

enum class SelectionOutcome : uint8_t {
  kChosen,
  // Every endpoint is full; one may become free.
  kAllFull,
  // The pool has no endpoint that this request could go to.
  kNone,
};

struct Selection {
  SelectionOutcome outcome = SelectionOutcome::kNone;
  // Index of the chosen candidate.
  size_t index = 0;
};

// The policy for a host that hears of the load of others every `interval`.
SelectionPolicy ForReportInterval(SelectionPolicy policy,
                                  core::Duration interval);

// The shared part of a prompt.
struct Affinity {
  uint64_t key = 0;
  // Over how many endpoints requests for it spread.
  size_t replicas = 1;
};

// Without an affinity the least loaded endpoint is chosen. `tie_break` is a
// random number.
Selection SelectEndpoint(std::span<const EndpointCandidate> candidates,
                         std::optional<Affinity> affinity,
                         uint64_t tie_break,
                         const SelectionPolicy& policy);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_SELECTOR_H_
