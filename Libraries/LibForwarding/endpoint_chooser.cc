#include "LibForwarding/endpoint_chooser.h"

#include <algorithm>

#include "LibCore/hash.h"
#include "LibCore/rendezvous.h"
#include "LibForwarding/pace_choice.h"

namespace wasabi::forwarding {

namespace {

// Slots are granted in pools with at most this many slots for each host. With
// more, the host's own requests tell it enough of the pool's load.
constexpr size_t kMaxGrantedSlotsPerHost = 2;
// A question must fit in a datagram.
constexpr size_t kMaxSlotCandidates = 64;

std::optional<uint64_t> AffinityKeyOf(const ForwardRequest& request) {
  if (!request.route->has_prompt_affinity || request.prompt.empty()) {
    return std::nullopt;
  }
  // The last part is specific to this request. The part before it ends the
  // longest prefix that other requests share.
  const size_t n = request.prompt.size();
  return request.prompt[n >= 2 ? n - 2 : 0].id;
}

uint32_t OwnTokensOf(const ForwardRequest& request) {
  return request.prompt.empty() ? 0 : request.prompt.back().tokens;
}

// Returns the tokens of the parts before the last one.
uint32_t SharedTokensOf(const ForwardRequest& request) {
  uint32_t tokens = 0;
  for (const auto& it : request.prompt) {
    tokens += it.tokens;
  }
  return tokens - OwnTokensOf(request);
}

// Keeps all requests for one prompt in one pool. Divides other requests among
// the pools by request id. Both follow the weights of the pools.
const core::PoolId& ChoosePool(const ForwardRequest& request,
                               std::optional<uint64_t> affinity_key) {
  const std::vector<WeightedPool>& pools = request.route->pools;
  uint64_t total = 0;
  for (const WeightedPool& it : pools) {
    total += it.weight;
  }
  const uint64_t key = affinity_key.value_or(request.id.Hash());
  uint64_t point = total == 0 ? 0 : core::CombineHashes(key, total) % total;
  for (const WeightedPool& it : pools) {
    if (point < it.weight) {
      return it.pool;
    }
    point -= it.weight;
  }
  return pools.front().pool;
}

// The parts before the last one count as cached at the endpoint that the prompt
// prefers, or are copied from it. A host of a large fleet sees a prompt too
// rarely to know better, and prompts that leave their endpoint are read again.
CallerNeeds NeedsOf(const ForwardRequest& request) {
  return {.latency_objective = request.route->latency_objective,
          .gap_objective = request.route->gap_objective,
          .is_stream = request.route->is_stream,
          .uncached_tokens = OwnTokensOf(request)};
}

bool CopiesPrompts(const ForwardRequest& request, const core::PoolId& pool) {
  const Pool* found = request.table->FindPool(pool);
  return found != nullptr && found->copies_prompts;
}

}  // namespace

EndpointChooser::EndpointChooser(ForwardContext* context,
                                 const ForwardRequest& request)
    : context_(context),
      affinity_key_(AffinityKeyOf(request)),
      pool_(ChoosePool(request, affinity_key_)),
      copies_prompts_(affinity_key_ && CopiesPrompts(request, pool_)),
      is_plain_(!affinity_key_ && !request.route->is_stream &&
                !CopiesPrompts(request, pool_)),
      prompt_share_(affinity_key_ ? context->popularity[pool_].Record(
                                        *affinity_key_,
                                        context->loop->Now())
                                  : 0),
      needs_(NeedsOf(request)),
      pools_(request.route->pools) {
  if (!context_->UsesPace(pool_)) {
    return;
  }
  placement_ = PlacementOf(needs_.uncached_tokens,
                           affinity_key_ ? SharedTokensOf(request) : 0);
  if (placement_ == PromptPlacement::kLong) {
    context_->long_prompts[pool_].Record(needs_.uncached_tokens,
                                         context_->loop->Now());
  }
}

bool EndpointChooser::ContinueAt(StreamOrigin origin) {
  for (const WeightedPool& pool : pools_) {
    for (const Endpoint* it : context_->endpoints->Available(pool.pool)) {
      if (OriginOf(*it) == origin && IsCertain(*it)) {
        ContinueAfter(*it);
        return true;
      }
    }
  }
  return false;
}

std::vector<core::SocketAddress> EndpointChooser::OnlyDoubtful(
    StreamOrigin origin,
    const std::set<core::RunnerId>& tried) const {
  std::vector<core::SocketAddress> doubtful;
  for (const WeightedPool& pool : pools_) {
    for (const Endpoint* it : context_->endpoints->Available(pool.pool)) {
      if (OriginOf(*it) != origin || tried.contains(it->id)) {
        continue;
      }
      if (IsCertain(*it)) {
        return {};
      }
      doubtful.push_back(it->address);
    }
  }
  return doubtful;
}

void EndpointChooser::ContinueAfter(const Endpoint& endpoint) {
  continues_nowhere_ = false;
  origin_ = OriginOf(endpoint);
  // The pool may be another one of the route. It is not known then whether its
  // endpoints copy prompts.
  copies_prompts_ = copies_prompts_ && endpoint.pool == pool_;
  pool_ = endpoint.pool;
}

bool EndpointChooser::IsSuitable(const Endpoint& endpoint) const {
  if (continues_nowhere_) {
    return false;
  }
  return !origin_ || (OriginOf(endpoint) == *origin_ && IsCertain(endpoint));
}

bool EndpointChooser::IsCertain(const Endpoint& endpoint) const {
  const OriginCertainty& certainty = context_->origin_certainty;
  return certainty.IsCertain(endpoint.address) ||
         (context_->path->is_lost() &&
          certainty.IsReadLately(endpoint.address, context_->loop->Now()));
}

std::vector<const Endpoint*> EndpointChooser::Suitable() const {
  std::vector<const Endpoint*> endpoints =
      context_->endpoints->Available(pool_);
  std::erase_if(endpoints,
                [this](const Endpoint* it) { return !IsSuitable(*it); });
  return endpoints;
}

bool EndpointChooser::HasOther(const std::set<core::RunnerId>& tried) const {
  const std::vector<const Endpoint*> endpoints = Suitable();
  return std::any_of(
      endpoints.begin(), endpoints.end(),
      [&tried](const Endpoint* it) { return !tried.contains(it->id); });
}

bool EndpointChooser::IsEvacuated() const {
  const auto& all = context_->endpoints->all();
  return !context_->endpoints->evacuated().empty() && Suitable().empty() &&
         std::any_of(all.begin(), all.end(), [this](const auto& it) {
           const Endpoint& endpoint = it.second;
           return endpoint.pool == pool_ && IsSuitable(endpoint) &&
                  context_->endpoints->IsEvacuated(endpoint.data_centre);
         });
}

const Endpoint* EndpointChooser::Choose(const std::set<core::RunnerId>& tried,
                                        core::TimePoint now) const {
  const std::vector<const Endpoint*> endpoints =
      context_->endpoints->Available(pool_);
  const core::Duration interval = context_->max_load_age();
  std::optional<Affinity> affinity;
  if (affinity_key_) {
    affinity = Affinity{
        .key = *affinity_key_,
        .replicas = ReplicasFor(prompt_share_, endpoints.size(), interval)};
  }
  const Selection selection = SelectEndpoint(
      Candidates(endpoints, tried, now), affinity, context_->random->Next(),
      PolicyForReportInterval(Policy(endpoints.size()), interval));
  return selection.outcome == SelectionOutcome::kChosen
             ? endpoints[selection.index]
             : nullptr;
}

SelectionPolicy EndpointChooser::Policy(size_t available) const {
  const auto& all = context_->endpoints->all();
  const auto evacuated =
      std::count_if(all.begin(), all.end(), [this](const auto& it) {
        return it.second.pool == pool_ &&
               context_->endpoints->IsEvacuated(it.second.data_centre);
      });
  return PolicyForEvacuation(context_->selection, available,
                             static_cast<size_t>(evacuated));
}

bool EndpointChooser::IsLimited(const Endpoint& endpoint) const {
  return context_->places->IsBrittle(endpoint) ||
         context_->permits->IsLimited(endpoint.id);
}

bool EndpointChooser::UsesPoolSlots(
    const std::vector<const Endpoint*>& endpoints) const {
  if (!context_->load_control_enabled || !is_plain_ || endpoints.empty() ||
      endpoints.size() > kMaxSlotCandidates) {
    return false;
  }
  size_t slots = 0;
  for (const Endpoint* it : endpoints) {
    slots += it->slots;
    // Their own grants are stricter.
    if (IsLimited(*it)) {
      return false;
    }
  }
  return slots <= kMaxGrantedSlotsPerHost * context_->host_count();
}

std::optional<PoolSlotRequest> EndpointChooser::SlotRequest(
    const std::set<core::RunnerId>& tried,
    core::Duration max_wait,
    core::TimePoint now) const {
  const std::vector<const Endpoint*> endpoints =
      context_->endpoints->Available(pool_);
  if (!UsesPoolSlots(endpoints)) {
    return std::nullopt;
  }
  PoolSlotRequest request{
      .pool = pool_,
      .service_time = context_->service_times.MeanSoFar(pool_, now),
      .max_wait = max_wait};
  PoolSlotRequest healthy = request;
  for (const Endpoint* it : endpoints) {
    if (tried.contains(it->id) || !IsSuitable(*it) ||
        now < ClosedUntil(it->id) || context_->monitor->IsDown(it->id, now)) {
      continue;
    }
    const PoolSlotRequest::Candidate candidate{
        .endpoint = it->id.Hash(),
        .slots = it->slots,
        .is_near = it->data_centre == context_->data_centre};
    request.candidates.push_back(candidate);
    if (context_->monitor->FailureShare(it->id, now) <=
        context_->selection.max_failure_share) {
      healthy.candidates.push_back(candidate);
    }
  }
  // As in SelectEndpoint.
  if (healthy.candidates.size() * 2 >= endpoints.size()) {
    return healthy;
  }
  return request.candidates.empty() ? std::nullopt : std::optional(request);
}

core::TimePoint EndpointChooser::ClosedUntil(
    const core::RunnerId& endpoint) const {
  return std::max({context_->monitor->PausedUntil(endpoint),
                   context_->permits->ExhaustedUntil(endpoint),
                   context_->places->FullUntil(endpoint)});
}

std::optional<core::TimePoint> EndpointChooser::ClosedUntil(
    const std::set<core::RunnerId>& tried,
    core::TimePoint now) const {
  std::optional<core::TimePoint> earliest;
  for (const Endpoint* it : Suitable()) {
    const core::TimePoint until = ClosedUntil(it->id);
    if (now < until) {
      earliest = std::min(earliest.value_or(until), until);
    } else if (!tried.contains(it->id)) {
      return std::nullopt;
    }
  }
  return earliest;
}

std::optional<core::TimePoint> EndpointChooser::NextOpening(
    core::TimePoint now) const {
  std::optional<core::TimePoint> earliest;
  for (const Endpoint* it : Suitable()) {
    const core::TimePoint until = ClosedUntil(it->id);
    if (now < until) {
      earliest = std::min(earliest.value_or(until), until);
    }
  }
  return earliest;
}

void EndpointChooser::RecordServed(const core::RunnerId& endpoint,
                                   core::TimePoint now) const {
  if (copies_prompts_) {
    context_->prompt_holders.RecordServed(*affinity_key_, endpoint, now);
  }
}

const Endpoint* EndpointChooser::PromptSourceFor(const Endpoint& chosen,
                                                 core::TimePoint now) const {
  if (!copies_prompts_) {
    return nullptr;
  }
  const std::vector<core::RunnerId> holders =
      context_->prompt_holders.Of(*affinity_key_, now);
  if (std::find(holders.begin(), holders.end(), chosen.id) != holders.end()) {
    return nullptr;
  }
  for (const core::RunnerId& it : holders) {
    const Endpoint* source = context_->endpoints->Find(it);
    if (source != nullptr && CanCopyFrom(*source, chosen, now)) {
      return source;
    }
  }
  return PreferredSourceExcept(chosen, now);
}

bool EndpointChooser::CanCopyFrom(const Endpoint& source,
                                  const Endpoint& chosen,
                                  core::TimePoint now) const {
  return source.pool == pool_ && source.id != chosen.id &&
         context_->endpoints->HasAddress(source) &&
         !context_->monitor->IsDown(source.id, now);
}

const Endpoint* EndpointChooser::PreferredSourceExcept(
    const Endpoint& chosen,
    core::TimePoint now) const {
  // Leaving endpoints are included because they still have their caches.
  std::vector<const Endpoint*> sources;
  std::vector<core::RendezvousCandidate> hashes;
  for (const auto& [id, endpoint] : context_->endpoints->all()) {
    if (CanCopyFrom(endpoint, chosen, now)) {
      sources.push_back(&endpoint);
      hashes.push_back({.hash = id.Hash(), .weight = 1.0});
    }
  }
  const size_t winner = core::RendezvousWinner(*affinity_key_, hashes);
  return winner < sources.size() ? sources[winner] : nullptr;
}

std::vector<EndpointCandidate> EndpointChooser::Candidates(
    const std::vector<const Endpoint*>& endpoints,
    const std::set<core::RunnerId>& tried,
    core::TimePoint now) const {
  const core::Duration interval = context_->max_load_age();
  const bool uses_reports =
      !ignores_reports_ &&
      context_->service_times.AreReportsUseful(pool_, interval, now);
  std::vector<EndpointCandidate> candidates;
  candidates.reserve(endpoints.size());
  for (const Endpoint* it : endpoints) {
    candidates.push_back(
        {.hash = it->id.Hash(),
         .load = uses_reports ? context_->loads->Load(it->id)
                              : context_->loads->OwnLoad(it->id),
         .slots = it->slots,
         .failure_share = context_->monitor->FailureShare(it->id, now),
         .is_down = context_->monitor->IsDown(it->id, now),
         .is_excluded = tried.contains(it->id) || !IsSuitable(*it) ||
                        now < ClosedUntil(it->id) ||
                        (!allows_limited_ && IsLimited(*it)),
         .is_same_data_centre = it->data_centre == context_->data_centre});
  }
  if (uses_reports) {
    EndpointShares& shares = context_->shares[pool_];
    shares.Update(candidates, Policy(candidates.size()), interval, now);
    for (EndpointCandidate& it : candidates) {
      it.share = shares.Of(it.hash);
    }
  }
  if (context_->UsesPace(pool_)) {
    std::vector<const core::RunnerId*> ids;
    ids.reserve(endpoints.size());
    for (const Endpoint* it : endpoints) {
      ids.push_back(&it->id);
    }
    ApplyPaces(*context_->paces, pool_, ids, needs_, now, candidates);
    ApplyLongPrompts(context_->long_prompts[pool_].TokensPerSecond(now) *
                         static_cast<double>(context_->host_count()),
                     placement_, candidates);
  }
  return candidates;
}

}  // namespace wasabi::forwarding
