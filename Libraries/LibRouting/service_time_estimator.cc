#include "LibRouting/service_time_estimator.h"

#include <algorithm>

namespace wasabi::routing {

void ServiceTimeEstimator::Observe(double tokens, core::Duration elapsed) {
  // The weight of the newest observation.
  constexpr double kGain = 0.05;
  mean_seconds_ += kGain * (core::ToSeconds(elapsed) - mean_seconds_);
  mean_tokens_ += kGain * (tokens - mean_tokens_);
}

core::Duration ServiceTimeEstimator::Mean() const {
  // Keeps divisions and time constants away from zero.
  constexpr double kMinimumSeconds = 0.001;
  return core::FromSeconds(std::max(kMinimumSeconds, mean_seconds_));
}

core::Duration ServiceTimeEstimator::Expected(double tokens) const {
  const double relative_size = tokens / std::max(1.0, mean_tokens_);
  return core::FromSeconds(core::ToSeconds(Mean()) * relative_size);
}

}  // namespace wasabi::routing
