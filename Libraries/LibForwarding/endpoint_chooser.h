// Chooses the pool and the endpoints for one request, based on what this host
// knows: registrations, loads, failures and the popularity of the request's
// prompt.

#ifndef LIBFORWARDING_ENDPOINT_CHOOSER_H_
#define LIBFORWARDING_ENDPOINT_CHOOSER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "LibForwarding/caller_needs.h"
#include "LibForwarding/endpoint.h"
#include "LibForwarding/endpoint_selector.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"
#include "LibForwarding/long_prompts.h"
#include "LibForwarding/pool_slot_exchange.h"
#include "LibForwarding/stream_origin.h"

namespace wasabi::forwarding {

class EndpointChooser {
 public:
  // Chooses the pool, and counts the request towards the popularity of its
  // prompt. `context` must outlive this object.
  EndpointChooser(ForwardContext* context, const ForwardRequest& request);

  const core::PoolId& pool() const { return pool_; }
  const CallerNeeds& needs() const { return needs_; }

  // Restricts the choice to endpoints of `origin`, and to the pool of the route
  // that has one. Returns false, and changes nothing, if none of them accepts
  // requests, or if all that do may have started anew (OriginCertainty).
  bool ContinueAt(StreamOrigin origin);
  // Restricts the choice to the endpoints that can continue what `endpoint` has
  // begun.
  void ContinueAfter(const Endpoint& endpoint);
  // Returns whether the endpoint still has the version that it is registered
  // with.
  bool IsCertain(const Endpoint& endpoint) const;
  // Leaves no endpoint to choose, because it is unknown which ones can continue
  // what one has begun.
  void ContinueNowhere() { continues_nowhere_ = true; }
  // Returns the origin that the choice is restricted to, if any.
  std::optional<StreamOrigin> origin() const { return origin_; }
  // Returns the addresses of the endpoints of `origin` that are not in `tried`
  // and accept requests, if all of them may have started anew. Otherwise
  // returns none.
  std::vector<core::SocketAddress> OnlyDoubtful(
      StreamOrigin origin,
      const std::set<core::RunnerId>& tried) const;
  // Returns whether an endpoint that is not in `tried` may be chosen sooner or
  // later.
  bool HasOther(const std::set<core::RunnerId>& tried) const;

  // Returns whether evacuations of data centres leave no endpoint that accepts
  // the request, although some are registered.
  bool IsEvacuated() const;
  // Sets whether endpoints may be chosen to which requests need places or
  // permits.
  void AllowLimited(bool is_allowed) { allows_limited_ = is_allowed; }

  // Sets whether to choose by the requests of this host alone. All hosts find
  // the same endpoints least loaded and ask for the same permits; after a
  // denied one, a request is better spread over the pool.
  void IgnoreReports(bool is_ignored) { ignores_reports_ = is_ignored; }

  // Records that `endpoint` served the request and is therefore likely to have
  // the prompt cached.
  void RecordServed(const core::RunnerId& endpoint, core::TimePoint now) const;

  // Returns an endpoint that is not in `tried`, or nullptr if no endpoint can
  // accept the request now. The pointer is valid until the registrations
  // change.
  const Endpoint* Choose(const std::set<core::RunnerId>& tried,
                         core::TimePoint now) const;

  // Returns the question for a slot of the pool, if one host of the fleet
  // grants its slots: where load control is on, for plain calls to a pool with
  // few slots for the number of hosts. Returns nullopt otherwise, and if no
  // endpoint can accept the request now. `max_wait` is how long the request may
  // wait at an endpoint.
  std::optional<PoolSlotRequest> SlotRequest(
      const std::set<core::RunnerId>& tried,
      core::Duration max_wait,
      core::TimePoint now) const;

  // Returns the earliest time at which an endpoint accepts the request again,
  // if every endpoint that is not in `tried` has asked for a pause or has no
  // permit left. Returns nullopt if one of them accepts requests, or if there
  // are none.
  std::optional<core::TimePoint> ClosedUntil(
      const std::set<core::RunnerId>& tried,
      core::TimePoint now) const;

  // Returns the earliest time at which one of the endpoints that are closed now
  // accepts requests again; nullopt if none is closed.
  std::optional<core::TimePoint> NextOpening(core::TimePoint now) const;

  // Returns an endpoint that is likely to have the prompt cached, for `chosen`
  // to copy from. Returns nullptr if there is none, or if `chosen` is known to
  // have the prompt cached. The pointer is valid as for Choose.
  const Endpoint* PromptSourceFor(const Endpoint& chosen,
                                  core::TimePoint now) const;

 private:
  // Returns the time until which an endpoint wants no requests, or has no
  // permit or place for them. It may have passed.
  core::TimePoint ClosedUntil(const core::RunnerId& endpoint) const;
  // Returns the policy for a pool with `available` endpoints that accept
  // requests.
  SelectionPolicy Policy(size_t available) const;
  // Returns the endpoints that accept requests and can serve this one.
  std::vector<const Endpoint*> Suitable() const;
  bool IsSuitable(const Endpoint& endpoint) const;
  bool CanCopyFrom(const Endpoint& source,
                   const Endpoint& chosen,
                   core::TimePoint now) const;
  // Returns the endpoint other than `chosen` that ranks first for the prompt in
  // the rendezvous order of the fleet, or nullptr if there is none.
  const Endpoint* PreferredSourceExcept(const Endpoint& chosen,
                                        core::TimePoint now) const;
  // Returns whether requests to the endpoint need places or permits.
  bool IsLimited(const Endpoint& endpoint) const;
  // Returns whether the fleet shares the slots of `endpoints` by grants.
  bool UsesPoolSlots(const std::vector<const Endpoint*>& endpoints) const;
  std::vector<EndpointCandidate> Candidates(
      const std::vector<const Endpoint*>& endpoints,
      const std::set<core::RunnerId>& tried,
      core::TimePoint now) const;

  ForwardContext* const context_;
  // Id of the prompt part that other requests share; nullopt if the request has
  // none.
  const std::optional<uint64_t> affinity_key_;
  core::PoolId pool_;
  // Whether the pool's endpoints can copy cached prompts from each other.
  // Always false without an affinity key.
  bool copies_prompts_;
  // Whether requests are neither streams nor share prompts.
  const bool is_plain_;
  // Share of the pool's recent requests that have this prompt, from 0 to 1.
  const double prompt_share_;
  const CallerNeeds needs_;
  PromptPlacement placement_ = PromptPlacement::kShort;
  // The origin of the stream that the request continues, once it is known.
  std::optional<StreamOrigin> origin_;
  bool continues_nowhere_ = false;
  bool allows_limited_ = true;
  bool ignores_reports_ = false;
  const std::vector<WeightedPool>& pools_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_CHOOSER_H_
