// Chooses the pool and the endpoints of one request from what this host knows:
// registrations, loads, failures, and how popular the request's prompt is.

#ifndef LIBFORWARDING_ENDPOINT_CHOOSER_H_
#define LIBFORWARDING_ENDPOINT_CHOOSER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "LibForwarding/endpoint.h"
#include "LibForwarding/endpoint_selector.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"

namespace wasabi::forwarding {

class EndpointChooser {
 public:
  // Chooses the pool and notes the request's prompt. `context` must outlive the
  // chooser.
  EndpointChooser(ForwardContext* context, const ForwardRequest& request);

  const core::PoolId& pool() const { return pool_; }

  // An endpoint that is not among `tried`, or nullptr where none can take the
  // request now. The pointer holds until the registrations change.
  const Endpoint* Choose(const std::set<core::RunnerId>& tried,
                         core::TimePoint now) const;

 private:
  std::vector<EndpointCandidate> Candidates(
      const std::vector<const Endpoint*>& endpoints,
      const std::set<core::RunnerId>& tried,
      core::TimePoint now) const;

  ForwardContext* const context_;
  // The shared part of the prompt, where the route has one.
  const std::optional<uint64_t> affinity_key_;
  const core::PoolId pool_;
  // Share of the pool's requests that are about this prompt.
  const double prompt_share_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_CHOOSER_H_
