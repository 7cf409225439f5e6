#include "LibForwarding/long_prompts.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "LibCore/rendezvous.h"

namespace wasabi::forwarding {

namespace {

// Time in which a request loses 63 % of its weight in the demand.
constexpr double kDemandDecaySeconds = 10;
// Tokens that an endpoint prefills in a second between its decode steps. The
// engines in use prefill 85 to 92 tokens per ms; steps take a quarter.
constexpr double kPrefillTokensPerSecond = 65'000;
// Share of the time in which an endpoint prefills long prompts, which leaves
// room for bursts until the estimated demand has followed.
constexpr double kMaxPrefillShare = 0.35;
constexpr size_t kMinPoolPerTaker = 2;
// Key of the shared order.
constexpr uint64_t kOrderKey = 0x6c6f6e67;

}  // namespace

PromptPlacement PlacementOf(uint32_t own_tokens, uint32_t shared_tokens) {
  if (own_tokens >= kLongPromptTokens && own_tokens > shared_tokens) {
    return PromptPlacement::kLong;
  }
  // Copying a smaller shared part takes a few milliseconds of a link, less than
  // the first event would wait behind a long prompt.
  return shared_tokens >= kLongPromptTokens ? PromptPlacement::kAtSharedPart
                                            : PromptPlacement::kShort;
}

void LongPromptDemand::Record(uint32_t uncached_tokens, core::TimePoint now) {
  tokens_ = TokensPerSecond(now) * kDemandDecaySeconds + uncached_tokens;
  updated_at_ = now;
}

double LongPromptDemand::TokensPerSecond(core::TimePoint now) const {
  const double age = std::max(0.0, core::ToSeconds(now - updated_at_));
  return tokens_ * std::exp(-age / kDemandDecaySeconds) / kDemandDecaySeconds;
}

size_t LongPromptEndpoints(double tokens_per_second, size_t endpoints) {
  const double needed = std::ceil(tokens_per_second /
                                  (kPrefillTokensPerSecond * kMaxPrefillShare));
  return needed * kMinPoolPerTaker > static_cast<double>(endpoints)
             ? 0
             : static_cast<size_t>(needed);
}

void ApplyLongPrompts(double tokens_per_second,
                      PromptPlacement placement,
                      std::span<EndpointCandidate> candidates) {
  if (placement == PromptPlacement::kAtSharedPart) {
    return;
  }
  std::vector<size_t> usable;
  std::vector<core::RendezvousCandidate> hashes;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].is_slow && !candidates[i].is_down) {
      usable.push_back(i);
      hashes.push_back({.hash = candidates[i].hash, .weight = 1.0});
    }
  }
  const size_t takers = LongPromptEndpoints(tokens_per_second, usable.size());
  if (takers == 0) {
    return;
  }
  const bool is_long = placement == PromptPlacement::kLong;
  const std::vector<size_t> order = core::RendezvousOrder(kOrderKey, hashes);
  for (size_t i = 0; i < order.size(); ++i) {
    candidates[usable[order[i]]].serves_other_prompts =
        is_long == (i >= takers);
  }
}

}  // namespace wasabi::forwarding
