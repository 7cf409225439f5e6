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

  // `endpoint` served the request.
  void RecordServed(const core::RunnerId& endpoint, core::TimePoint now) const;

  // An endpoint that is not among `tried`, or nullptr where none can take the
  // request now. The pointer holds until the registrations change.
  const Endpoint* Choose(const std::set<core::RunnerId>& tried,
                         core::TimePoint now) const;

  // An endpoint that is likely to have cached the prompt, where `chosen` is not
  // known to have; nullptr where there is none. Valid as for Choose.
  const Endpoint* PromptSourceFor(const Endpoint& chosen,
                                  core::TimePoint now) const;

 private:
  bool CanCopyFrom(const Endpoint& source,
                   const Endpoint& chosen,
                   core::TimePoint now) const;
  // The endpoint that the fleet prefers for the prompt, `chosen` left out.
  const Endpoint* PreferredBeside(const Endpoint& chosen,
                                  core::TimePoint now) const;
  std::vector<EndpointCandidate> Candidates(
      const std::vector<const Endpoint*>& endpoints,
      const std::set<core::RunnerId>& tried,
      core::TimePoint now) const;

  ForwardContext* const context_;
  // The shared part of the prompt, where the route has one.
  const std::optional<uint64_t> affinity_key_;
  const core::PoolId pool_;
  // Whether the pool's endpoints copy prompts from each other.
  const bool copies_prompts_;
  // Share of the pool's requests that are about this prompt.
  const double prompt_share_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_CHOOSER_H_
