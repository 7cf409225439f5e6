#include "LibForwarding/origin_history.h"

#include <set>

namespace wasabi::forwarding {

namespace {

// Longer than callers wait for a stream, over all their attempts.
constexpr core::Duration kLifetime = core::seconds(60);

}  // namespace

void OriginHistory::Observe(const EndpointTable& endpoints,
                            core::TimePoint now) {
  for (const auto& [id, endpoint] : endpoints.all()) {
    seen_at_[endpoint.pool][OriginOf(endpoint)] = now;
  }
}

std::optional<StreamOrigin> OriginHistory::OnlyOrigin(
    const std::vector<WeightedPool>& pools,
    core::TimePoint now) const {
  std::set<StreamOrigin> origins;
  for (const WeightedPool& it : pools) {
    const auto seen = seen_at_.find(it.pool);
    if (seen == seen_at_.end()) {
      continue;
    }
    for (const auto& [origin, seen_at] : seen->second) {
      if (now - seen_at < kLifetime) {
        origins.insert(origin);
      }
    }
  }
  return origins.size() == 1 ? std::optional(*origins.begin()) : std::nullopt;
}

}  // namespace wasabi::forwarding
