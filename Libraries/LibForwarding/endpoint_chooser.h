// Chooses the pool and the endpoints for one request, based on what this host
// knows: registrations, loads, failures and the popularity of the request's
// prompt.

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
  // Chooses the pool, and counts the request towards the popularity of its
  // prompt. `context` must outlive this object.
  EndpointChooser(ForwardContext* context, const ForwardRequest& request);

  const core::PoolId& pool() const { return pool_; }

  // Records that `endpoint` served the request and is therefore likely to have
  // the prompt cached.
  void RecordServed(const core::RunnerId& endpoint, core::TimePoint now) const;

  // Returns an endpoint that is not in `tried`, or nullptr if no endpoint can
  // accept the request now. The pointer is valid until the registrations
  // change.
  const Endpoint* Choose(const std::set<core::RunnerId>& tried,
                         core::TimePoint now) const;

  // Returns the earliest time at which an endpoint accepts the request again,
  // if every endpoint that is not in `tried` has asked for a pause. Returns
  // nullopt if one of them has not, or if none has asked for a pause.
  std::optional<core::TimePoint> PausedUntil(
      const std::set<core::RunnerId>& tried,
      core::TimePoint now) const;

  // Returns an endpoint that is likely to have the prompt cached, for `chosen`
  // to copy from. Returns nullptr if there is none, or if `chosen` is known to
  // have the prompt cached. The pointer is valid as for Choose.
  const Endpoint* PromptSourceFor(const Endpoint& chosen,
                                  core::TimePoint now) const;

 private:
  bool CanCopyFrom(const Endpoint& source,
                   const Endpoint& chosen,
                   core::TimePoint now) const;
  // Returns the endpoint other than `chosen` that ranks first for the prompt in
  // the rendezvous order of the fleet, or nullptr if there is none.
  const Endpoint* PreferredSourceExcept(const Endpoint& chosen,
                                        core::TimePoint now) const;
  std::vector<EndpointCandidate> Candidates(
      const std::vector<const Endpoint*>& endpoints,
      const std::set<core::RunnerId>& tried,
      core::TimePoint now) const;

  ForwardContext* const context_;
  // Id of the prompt part that other requests share; nullopt if the request has
  // none.
  const std::optional<uint64_t> affinity_key_;
  const core::PoolId pool_;
  // Whether the pool's endpoints can copy cached prompts from each other.
  // Always false without an affinity key.
  const bool copies_prompts_;
  // Share of the pool's recent requests that have this prompt, from 0 to 1.
  const double prompt_share_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_CHOOSER_H_
