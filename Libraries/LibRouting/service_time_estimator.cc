#include "LibRouting/service_time_estimator.h"

#include <algorithm>

namespace wasabi::routing {

void ServiceTimeEstimator::Observe(const ServiceDemand& demand,
                                   core::Duration elapsed) {
  // Minimum weight of a new observation.
  constexpr double kMinimumGain = 0.05;
  ++observations_;
  const double gain =
      std::max(kMinimumGain, 1 / static_cast<double>(observations_));
  const double seconds = core::ToSeconds(elapsed);
  mean_seconds_ += gain * (seconds - mean_seconds_);
  const double output_seconds = std::max(0.0, seconds - demand.prefill_seconds);
  const double per_token = output_seconds / std::max(1.0, demand.output_tokens);
  seconds_per_token_ += gain * (per_token - seconds_per_token_);
}

core::Duration ServiceTimeEstimator::Mean() const {
  // Callers divide by the mean and use it as a time constant, so it must not be
  // zero.
  constexpr double kMinimumSeconds = 0.001;
  return core::FromSeconds(std::max(kMinimumSeconds, mean_seconds_));
}

core::Duration ServiceTimeEstimator::Expected(
    const ServiceDemand& demand) const {
  return core::FromSeconds(demand.prefill_seconds +
                           demand.output_tokens * seconds_per_token_);
}

}  // namespace wasabi::routing
