// Selects the endpoint for a request. Performs no I/O.
//
// A request whose prompt shares parts with other requests goes to the endpoint
// that ranks first for these parts in rendezvous hashing, so that only one
// endpoint has to process them. If the load of that endpoint is above the load
// bound, the next one in rendezvous order takes the request. A prompt that is
// known to be hot is spread over the first endpoints of its order from the
// start, because load reports arrive too late for the load bound to spread it
// in time.

#ifndef LIBFORWARDING_ENDPOINT_SELECTOR_H_
#define LIBFORWARDING_ENDPOINT_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <span>

#include "LibCore/time.h"

namespace wasabi::forwarding {

// State of an endpoint, as input of the selection.
struct EndpointCandidate {
  // Stable hash of the endpoint's id.
  uint64_t hash = 0;
  // Requests at the endpoint, and the number of requests that it processes
  // concurrently. `load` counts the whole fleet, or this host alone if the
  // reports of other hosts are not useful.
  uint32_t load = 0;
  uint32_t slots = 1;
  // Share of the requests with affinity to the endpoint that are sent to it,
  // from 0 to 1 (see EndpointShares).
  double share = 1.0;
  // Time that work takes at the endpoint as a multiple of the usual time; 1 or
  // more (see EndpointPace).
  double pace = 1.0;
  // The request would probably miss its latency or gap objective there because
  // the endpoint is slow.
  bool is_slow = false;
  // The endpoint serves long prompts and the request's is short, or the other
  // way round (see LongPromptDemand).
  bool serves_other_prompts = false;
  // Recent share of failed requests, from 0 to 1.
  double failure_share = 0;
  // The endpoint is in hold-down because it could not be reached.
  bool is_down = false;
  // This request was already sent to the endpoint, or the endpoint asked for a
  // pause.
  bool is_excluded = false;
  // The endpoint is in the same data centre as this host.
  bool is_same_data_centre = false;
};

struct SelectionPolicy {
  // Maximum load of one endpoint, as a multiple of the mean load of the pool.
  double load_bound = 2.0;
  // Jitter of the load bound: each request draws its bound at random, at most
  // this fraction below `load_bound`. Without it, hosts with stale reports
  // would all leave an endpoint at the same time and all return to it at the
  // same time.
  double bound_jitter = 0;
  // Endpoints with a higher failure share are avoided while at least half of
  // the pool does not exceed this limit.
  double max_failure_share = 0.25;
};

enum class SelectionOutcome : uint8_t {
  kChosen,
  // Every eligible endpoint is full. The request can wait for a free slot.
  kAllFull,
  // The pool has no endpoint to which this request may be sent.
  kNone,
};

struct Selection {
  SelectionOutcome outcome = SelectionOutcome::kNone;
  // Index of the chosen candidate; only meaningful with kChosen.
  size_t index = 0;
};

// Returns `policy` with the bound jitter for a host that receives the load
// reports of other hosts every `interval`.
SelectionPolicy PolicyForReportInterval(SelectionPolicy policy,
                                        core::Duration interval);

// Returns `policy` for a pool of which `evacuated` endpoints get no requests.
// The load bound refers to the mean of all endpoints of the pool, idle ones
// included, but the selection only sees the `available` ones.
SelectionPolicy PolicyForEvacuation(SelectionPolicy policy,
                                    size_t available,
                                    size_t evacuated);

// The shared part of a prompt, by which rendezvous hashing ranks the endpoints.
struct Affinity {
  uint64_t key = 0;
  // Number of endpoints over which requests with this part are spread.
  size_t replicas = 1;
};

// Selects an endpoint for a request. Without an affinity, or if every preferred
// endpoint is above its bound, selects the least loaded endpoint. `tie_break`
// is a random number.
Selection SelectEndpoint(std::span<const EndpointCandidate> candidates,
                         std::optional<Affinity> affinity,
                         uint64_t tie_break,
                         const SelectionPolicy& policy);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_SELECTOR_H_
