#include "LibRouting/demand_trend.h"

#include <algorithm>
#include <cmath>

namespace wasabi::routing {

void DemandTrend::Observe(const PoolDemand& pool, core::TimePoint now) {
  // Time constant for smoothing the slope, in seconds.
  constexpr double kSmoothing = 2;
  if (has_latest_ && pool == latest_) {
    return;
  }
  const double elapsed = core::ToSeconds(now - latest_change_);
  const double mean = latest_.MeanRequests();
  const bool is_comparable =
      has_latest_ && elapsed > 0 && mean > 0 && pool.runners > 0;
  if (is_comparable) {
    const double change = (pool.MeanRequests() / mean - 1) / elapsed;
    const double gain = 1 - std::exp(-elapsed / kSmoothing);
    slope_ += gain * (change - slope_);
  }
  latest_ = pool;
  latest_change_ = now;
  has_latest_ = true;
}

PoolDemand DemandTrend::Estimate(core::Duration lag,
                                 core::TimePoint now) const {
  // Lower limit for the correction factor, regardless of the slope.
  constexpr double kMinimumFactor = 0.5;
  // The number of requests fluctuates by about its square root. A relative
  // slope per second within half of that is treated as noise.
  constexpr double kNoise = 0.5;
  const double noise = kNoise / std::sqrt(std::max(1.0, latest_.requests));
  const double fall = std::min(0.0, slope_ + noise);
  const double age = core::ToSeconds(lag + (now - latest_change_));
  const double factor = std::clamp(1 + fall * age, kMinimumFactor, 1.0);
  PoolDemand estimate = latest_;
  estimate.requests *= factor;
  estimate.tokens *= factor;
  return estimate;
}

}  // namespace wasabi::routing
