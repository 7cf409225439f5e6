// Chooses the endpoint for a request. Pure decision code.
//
// A request whose prompt shares parts with others goes to the endpoint that
// rendezvous hashing prefers for them, so that they are read once. When that
// endpoint is above the load bound, the next one in the order takes the
// request, so that a hot prompt spreads over few endpoints, always the same.

#ifndef LIBFORWARDING_ENDPOINT_SELECTOR_H_
#define LIBFORWARDING_ENDPOINT_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <span>

namespace wasabi::forwarding {

// An endpoint as the selection sees it.
struct EndpointCandidate {
  // Stable hash of its id.
  uint64_t hash = 0;
  // Requests of the whole fleet there, and how many it processes at once.
  uint32_t load = 0;
  uint32_t slots = 1;
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

// `affinity_key` names the shared part of the prompt; without one the least
// loaded endpoint is chosen. `tie_break` is a random number.
Selection SelectEndpoint(std::span<const EndpointCandidate> candidates,
                         std::optional<uint64_t> affinity_key,
                         uint64_t tie_break,
                         const SelectionPolicy& policy);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_SELECTOR_H_
