// Estimates how long requests run on a runner, based on completed requests.

#ifndef LIBROUTING_SERVICE_TIME_ESTIMATOR_H_
#define LIBROUTING_SERVICE_TIME_ESTIMATOR_H_

#include <cstdint>

#include "LibCore/time.h"

namespace wasabi::routing {

// The properties of a request that determine its service time.
struct ServiceDemand {
  // Time to prefill the uncached part of the prompt, in seconds.
  double prefill_seconds = 0;
  // Expected length of the answer, in tokens.
  double output_tokens = 0;
};

// Exponentially weighted moving averages. Early observations have a higher
// weight, so that they quickly replace the initial values.
class ServiceTimeEstimator {
 public:
  // Records a request that ran for `elapsed`.
  void Observe(const ServiceDemand& demand, core::Duration elapsed);

  // Returns the mean service time of all requests; at least 1 ms.
  core::Duration Mean() const;

  // Returns the expected service time of a request with this demand.
  core::Duration Expected(const ServiceDemand& demand) const;

 private:
  // Initial values until the first observation. The time per token is low,
  // because an overestimate would refuse requests that can meet their deadline.
  static constexpr double kInitialSeconds = 5;
  static constexpr double kInitialSecondsPerToken = 0.01;

  uint64_t observations_ = 0;
  double mean_seconds_ = kInitialSeconds;
  double seconds_per_token_ = kInitialSecondsPerToken;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_SERVICE_TIME_ESTIMATOR_H_
