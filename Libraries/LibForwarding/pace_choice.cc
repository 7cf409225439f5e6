#include "LibForwarding/pace_choice.h"

#include <algorithm>
#include <vector>

namespace wasabi::forwarding {

namespace {

// Estimates of endpoints at their usual pace vary by this much. Without the
// band, requests would leave the endpoints that have their prompts cached.
constexpr double kMinWeightedPace = 1.3;

// Returns the median, but no less than the usual pace.
double PaceOfMost(std::vector<double> paces) {
  const auto middle =
      paces.begin() + static_cast<ptrdiff_t>((paces.size() - 1) / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return std::max(1.0, *middle);
}

}  // namespace

void ApplyPaces(const EndpointPace& paces,
                const core::PoolId& pool,
                std::span<const core::RunnerId* const> endpoints,
                const CallerNeeds& needs,
                core::TimePoint now,
                std::span<EndpointCandidate> candidates) {
  if (candidates.empty()) {
    return;
  }
  std::vector<double> known;
  known.reserve(candidates.size());
  for (const core::RunnerId* it : endpoints) {
    known.push_back(paces.PaceOf(*it, now));
  }
  const double most = PaceOfMost(known);
  for (size_t i = 0; i < candidates.size(); ++i) {
    EndpointCandidate& it = candidates[i];
    const double pace = known[i] / most;
    if (pace < kMinWeightedPace ||
        !paces.ComesNearObjective(pool, *endpoints[i], it.load, needs, now)) {
      continue;
    }
    it.pace = pace;
    it.share /= pace;
    it.is_slow = paces.WouldMissGaps(pool, *endpoints[i], it.load,
                                     needs.gap_objective, now);
  }
}

}  // namespace wasabi::forwarding
