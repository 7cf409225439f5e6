// Which share of the requests that prefer an endpoint goes there, where hosts
// hear of each other's load late. Pure state.
//
// Load pattern: a few prompts that many ask for prefer the same endpoint, each
// too rare on one host to be known as hot. With old reports all hosts would
// send to it until the next report shows it full, and then all leave it. Its
// share falls while reports show it near the bound and rises slowly after, so
// that the load settles below the bound.

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
  // once in `interval`, the time between two load reports. Hosts that hear of
  // each other often need no shares: all are 1.
  void Update(std::span<const EndpointCandidate> candidates,
              const SelectionPolicy& policy,
              core::Duration interval,
              core::TimePoint now);

  // Between 0 and 1, for the endpoint with this hash.
  double Of(uint64_t hash) const;

 private:
  // Shares below 1.
  absl::flat_hash_map<uint64_t, double> shares_;
  core::TimePoint updated_at_{};
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_SHARES_H_
