// Computes which share of the requests with affinity to an endpoint is sent to
// it while load reports are stale. Performs no I/O; the caller passes in the
// time.
//
// Load pattern: a few popular prompts prefer the same endpoint, and each is too
// rare on any one host to be detected as hot. With stale reports, all hosts
// would send to that endpoint until the next report shows it full, and then all
// would avoid it. The endpoint's share decreases while reports show it near the
// load bound and increases slowly afterwards, so that its load settles below
// the bound.

#ifndef LIBFORWARDING_ENDPOINT_SHARES_H_
#define LIBFORWARDING_ENDPOINT_SHARES_H_

#include <cstdint>
#include <span>

#include "LibCore/time.h"
#include "LibForwarding/endpoint_selector.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class EndpointShares {
 public:
  // Adjusts the shares to the loads of `candidates`, the endpoints of one pool,
  // at most once per `interval`, the time between two load reports. If reports
  // are frequent, no limit is needed and all shares are 1.
  void Update(std::span<const EndpointCandidate> candidates,
              const SelectionPolicy& policy,
              core::Duration interval,
              core::TimePoint now);

  // Returns the share of the endpoint with this id hash, from 0 to 1.
  double Of(uint64_t hash) const;

 private:
  // Shares below 1 by endpoint hash. Endpoints that are not in the map have a
  // share of 1.
  absl::flat_hash_map<uint64_t, double> shares_;
  core::TimePoint updated_at_{};
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_SHARES_H_
