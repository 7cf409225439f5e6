#include "LibForwarding/prompt_popularity.h"

#include <algorithm>
#include <cmath>

#include "LibForwarding/stale_reports.h"

namespace wasabi::forwarding {

namespace {

constexpr core::Duration kHalfLife = core::seconds(4);
// Lower counts may be coincidence and give no estimate.
constexpr double kMinCount = 2.5;
// Counts that have decayed below this value are insignificant and can be
// removed.
constexpr double kMinRetainedCount = 0.1;
constexpr size_t kMaxPrompts = 4096;

}  // namespace

double PromptPopularity::Record(uint64_t prompt, core::TimePoint now) {
  if (prompts_.size() >= kMaxPrompts) {
    Forget(now);
  }
  const double total = Add(total_, now);
  const double count = Add(prompts_[prompt], now);
  return count < kMinCount ? 0 : count / total;
}

double PromptPopularity::Add(Count& count, core::TimePoint now) {
  count.value = DecayedValue(count, now) + 1;
  count.updated_at = now;
  return count.value;
}

double PromptPopularity::DecayedValue(const Count& count, core::TimePoint now) {
  if (count.value == 0) {
    return 0;
  }
  const double age = core::ToSeconds(now - count.updated_at);
  return count.value * std::exp2(-age / core::ToSeconds(kHalfLife));
}

void PromptPopularity::Forget(core::TimePoint now) {
  absl::erase_if(prompts_, [now](const auto& it) {
    return DecayedValue(it.second, now) < kMinRetainedCount;
  });
  // If all counts are recent, no prompt is popular.
  if (prompts_.size() >= kMaxPrompts) {
    prompts_.clear();
  }
}

size_t ReplicasFor(double share,
                   size_t endpoint_count,
                   core::Duration report_interval) {
  const double staleness =
      std::min(1.0, core::ToSeconds(report_interval) /
                        core::ToSeconds(kStaleReportInterval));
  const double wanted =
      std::ceil(share * staleness * static_cast<double>(endpoint_count));
  return std::clamp<size_t>(static_cast<size_t>(wanted), 1,
                            std::max<size_t>(endpoint_count, 1));
}

}  // namespace wasabi::forwarding
