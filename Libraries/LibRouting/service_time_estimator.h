// How long requests run on a runner, learnt from those that ended.

#ifndef LIBROUTING_SERVICE_TIME_ESTIMATOR_H_
#define LIBROUTING_SERVICE_TIME_ESTIMATOR_H_

#include <cstdint>

#include "LibCore/time.h"

namespace wasabi::routing {

// The parts of a request that its service time follows from.
struct ServiceDemand {
  // Time to prefill the part of the prompt that isn't cached.
  double prefill_seconds = 0;
  // Expected length of the answer.
  double output_tokens = 0;
};

// Exponentially weighted means. The first observations weigh more, so that the
// assumptions made before them are soon forgotten.
class ServiceTimeEstimator {
 public:
  // Notes a request that ran for `elapsed`.
  void Observe(const ServiceDemand& demand, core::Duration elapsed);

  // Mean time that a request runs.
  core::Duration Mean() const;

  // Expected time that a request runs.
  core::Duration Expected(const ServiceDemand& demand) const;

 private:
  // Assumed before the first observation. The time of a token is low rather
  // than high, since it decides which requests are refused for their deadline.
  static constexpr double kInitialSeconds = 5;
  static constexpr double kInitialSecondsPerToken = 0.01;

  uint64_t observations_ = 0;
  double mean_seconds_ = kInitialSeconds;
  double seconds_per_token_ = kInitialSecondsPerToken;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_SERVICE_TIME_ESTIMATOR_H_
