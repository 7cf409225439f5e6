#include "LibForwarding/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

#include "LibCore/hash.h"
#include "LibCore/random_source.h"
#include "LibCore/rendezvous.h"

namespace wasabi::forwarding {

namespace {

using Indices = std::vector<size_t>;

template <typename Predicate>
Indices Filter(const Indices& indices, Predicate predicate) {
  Indices kept;
  std::copy_if(indices.begin(), indices.end(), std::back_inserter(kept),
               predicate);
  return kept;
}

// Returns the indices of the candidates to which the request may be sent. Omits
// failing endpoints while at least half of the candidates are healthy, and
// endpoints in hold-down while others can be reached.
Indices Eligible(std::span<const EndpointCandidate> candidates,
                 const SelectionPolicy& policy) {
  Indices all;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].is_excluded) {
      all.push_back(i);
    }
  }
  const Indices reachable =
      Filter(all, [&](size_t i) { return !candidates[i].is_down; });
  const Indices& known = reachable.empty() ? all : reachable;
  const Indices healthy = Filter(known, [&](size_t i) {
    return candidates[i].failure_share <= policy.max_failure_share;
  });
  return healthy.size() * 2 >= candidates.size() ? healthy : known;
}

// Returns the endpoints of `eligible` that are not slow, or all of them if
// those that are left would be less than half of the pool: if most endpoints
// are slow, the others could not take all requests.
Indices WithoutSlow(std::span<const EndpointCandidate> candidates,
                    const Indices& eligible) {
  Indices fast =
      Filter(eligible, [&](size_t i) { return !candidates[i].is_slow; });
  return fast.size() * 2 >= candidates.size() ? fast : eligible;
}

// Returns the requests at an endpoint, weighted by the time that they take
// there.
double WeightedLoad(const EndpointCandidate& candidate) {
  return candidate.load * candidate.pace;
}

// Returns the load limit of this request: an endpoint is only preferred by
// affinity while its load is below the limit.
double LoadLimit(std::span<const EndpointCandidate> candidates,
                 uint64_t tie_break,
                 const SelectionPolicy& policy) {
  double total = 1;
  for (const EndpointCandidate& it : candidates) {
    total += it.load;
  }
  const double mean = total / static_cast<double>(candidates.size());
  // The bound is rounded up to a whole request. Otherwise, no endpoint of a
  // pool with little load could accept a request by affinity.
  const double share = core::RandomSource(tie_break).Unit();
  return std::ceil(policy.load_bound * mean *
                   (1 - policy.bound_jitter * share));
}

std::optional<size_t> LeastLoaded(std::span<const EndpointCandidate> candidates,
                                  const Indices& eligible,
                                  uint64_t tie_break) {
  const auto rank = [&](size_t i) {
    const EndpointCandidate& it = candidates[i];
    const double fill = WeightedLoad(it) / it.slots;
    return std::make_tuple(fill, !it.is_same_data_centre,
                           core::CombineHashes(it.hash, tie_break));
  };
  std::optional<size_t> best;
  for (const size_t i : eligible) {
    if (candidates[i].load < candidates[i].slots &&
        (!best || rank(i) < rank(*best))) {
      best = i;
    }
  }
  return best;
}

// Draws whether a request with affinity to `candidate` falls into the share of
// such requests that the candidate receives.
bool IsWithinShare(const EndpointCandidate& candidate, uint64_t tie_break) {
  if (candidate.share >= 1) {
    return true;
  }
  const uint64_t draw = core::CombineHashes(candidate.hash, tie_break);
  return core::RandomSource(draw).Unit() < candidate.share;
}

std::optional<size_t> FirstWithinBound(
    std::span<const EndpointCandidate> candidates,
    const Indices& eligible,
    const Affinity& affinity,
    uint64_t tie_break,
    double limit) {
  std::vector<core::RendezvousCandidate> hashes;
  hashes.reserve(eligible.size());
  for (const size_t i : eligible) {
    hashes.push_back({.hash = candidates[i].hash, .weight = 1.0});
  }
  std::vector<size_t> order = core::RendezvousOrder(affinity.key, hashes);
  const size_t replicas = std::min(affinity.replicas, order.size());
  if (replicas > 1) {
    const auto first = static_cast<ptrdiff_t>(tie_break % replicas);
    std::rotate(order.begin(), order.begin() + first,
                order.begin() + static_cast<ptrdiff_t>(replicas));
  }
  for (const size_t position : order) {
    const EndpointCandidate& it = candidates[eligible[position]];
    if (it.load < it.slots && WeightedLoad(it) < limit &&
        IsWithinShare(it, tie_break)) {
      return eligible[position];
    }
  }
  return std::nullopt;
}

// Bound spread at a report interval of one second, and its maximum.
constexpr double kJitterPerSecond = 0.35;
constexpr double kMaxJitter = 0.8;
// A lower bound would turn requests away from endpoints with an even share.
constexpr double kMinLoadBound = 1.1;

}  // namespace

SelectionPolicy PolicyForReportInterval(SelectionPolicy policy,
                                        core::Duration interval) {
  policy.bound_jitter =
      std::min(kMaxJitter, kJitterPerSecond * core::ToSeconds(interval));
  return policy;
}

SelectionPolicy PolicyForEvacuation(SelectionPolicy policy,
                                    size_t available,
                                    size_t evacuated) {
  if (evacuated > 0) {
    const double share = static_cast<double>(available) /
                         static_cast<double>(available + evacuated);
    policy.load_bound = std::max(kMinLoadBound, policy.load_bound * share);
  }
  return policy;
}

Selection SelectEndpoint(std::span<const EndpointCandidate> candidates,
                         std::optional<Affinity> affinity,
                         uint64_t tie_break,
                         const SelectionPolicy& policy) {
  const Indices eligible = Eligible(candidates, policy);
  if (eligible.empty()) {
    return {};
  }
  const Indices preferred = WithoutSlow(candidates, eligible);
  const Indices matching = Filter(
      preferred, [&](size_t i) { return !candidates[i].serves_other_prompts; });
  std::optional<size_t> chosen;
  if (affinity) {
    const double limit = LoadLimit(candidates, tie_break, policy);
    chosen =
        FirstWithinBound(candidates, matching, *affinity, tie_break, limit);
    if (!chosen && matching.size() < preferred.size()) {
      chosen =
          FirstWithinBound(candidates, preferred, *affinity, tie_break, limit);
    }
  } else if (matching.size() < preferred.size()) {
    chosen = LeastLoaded(candidates, matching, tie_break);
  }
  if (!chosen) {
    chosen = LeastLoaded(candidates, preferred, tie_break);
  }
  if (!chosen && preferred.size() < eligible.size()) {
    // A slow endpoint is better than none.
    chosen = LeastLoaded(candidates, eligible, tie_break);
  }
  if (!chosen) {
    return {.outcome = SelectionOutcome::kAllFull};
  }
  return {.outcome = SelectionOutcome::kChosen, .index = *chosen};
}

}  // namespace wasabi::forwarding
