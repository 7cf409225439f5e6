#include "LibForwarding/endpoint_shares.h"

#include <algorithm>
#include <utility>

#include "LibForwarding/stale_reports.h"

namespace wasabi::forwarding {

namespace {

// Fills of the load bound above which an endpoint's share falls, and below
// which it rises. Lower ones would read prompts at a second endpoint that the
// bound itself keeps apart.
constexpr double kHighFill = 0.9;
constexpr double kLowFill = 0.7;
// Requests beside these fills, so that a pool with little work keeps its order.
constexpr double kFreeRequests = 1;
// A share falls by the excess, within these factors, in one interval.
constexpr double kLeastFall = 0.9;
constexpr double kGreatestFall = 0.5;
// A slow rise keeps an endpoint from being overrun again.
constexpr double kRise = 0.05;
// An endpoint that still has work always gets some of what prefers it.
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
  const double rise =
      kRise * (core::ToSeconds(elapsed) / core::ToSeconds(interval));
  const double bound = policy.load_bound * MeanLoad(candidates);
  const double high = kHighFill * bound + kFreeRequests;
  const double low = kLowFill * bound + kFreeRequests;
  absl::flat_hash_map<uint64_t, double> shares;
  for (const EndpointCandidate& it : candidates) {
    const double load = it.load;
    double share = Of(it.hash);
    if (load > high) {
      share *= std::clamp(high / load, kGreatestFall, kLeastFall);
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
