#include "LibForwarding/endpoint_shares.h"

#include <algorithm>
#include <utility>

#include "LibForwarding/stale_reports.h"

namespace wasabi::forwarding {

namespace {

// Watermarks, as fractions of the load bound: an endpoint's share decreases
// above the high one and increases below the low one. With lower watermarks,
// prompts would be processed at a second endpoint although the load bound alone
// keeps them on one.
constexpr double kHighWatermark = 0.9;
constexpr double kLowWatermark = 0.7;
// Number of requests added to both watermarks, so that the order of preference
// stays unchanged in a pool with little load.
constexpr double kWatermarkSlack = 1;
// In one interval a share is multiplied by the ratio of the high watermark to
// the load, limited to these factors.
constexpr double kMaxDecreaseFactor = 0.9;
constexpr double kMinDecreaseFactor = 0.5;
// Increase of a share per interval. It is slow so that the endpoint is not
// overloaded again.
constexpr double kIncreasePerInterval = 0.05;
// A loaded endpoint always receives at least this share of the requests with
// affinity to it.
constexpr double kMinShare = 0.1;

double MeanLoad(std::span<const EndpointCandidate> candidates) {
  double total = 0;
  for (const EndpointCandidate& it : candidates) {
    total += it.load;
  }
  return total / static_cast<double>(candidates.size());
}

}  // namespace

void EndpointShares::Update(std::span<const EndpointCandidate> candidates,
                            const SelectionPolicy& policy,
                            core::Duration interval,
                            core::TimePoint now) {
  if (interval < kStaleReportInterval || candidates.empty()) {
    shares_.clear();
    return;
  }
  const core::Duration elapsed = now - updated_at_;
  if (elapsed < interval) {
    return;
  }
  updated_at_ = now;
  const double rise = kIncreasePerInterval *
                      (core::ToSeconds(elapsed) / core::ToSeconds(interval));
  const double bound = policy.load_bound * MeanLoad(candidates);
  const double high = kHighWatermark * bound + kWatermarkSlack;
  const double low = kLowWatermark * bound + kWatermarkSlack;
  absl::flat_hash_map<uint64_t, double> shares;
  for (const EndpointCandidate& it : candidates) {
    const double load = it.load;
    double share = Of(it.hash);
    if (load > high) {
      share *= std::clamp(high / load, kMinDecreaseFactor, kMaxDecreaseFactor);
    } else if (load < low) {
      share += rise;
    }
    if (share < 1) {
      shares[it.hash] = std::max(share, kMinShare);
    }
  }
  shares_ = std::move(shares);
}

double EndpointShares::Of(uint64_t hash) const {
  const auto it = shares_.find(hash);
  return it == shares_.end() ? 1.0 : it->second;
}

}  // namespace wasabi::forwarding
