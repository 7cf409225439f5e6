// How long requests run on a runner, learnt from those that ended.

#ifndef LIBROUTING_SERVICE_TIME_ESTIMATOR_H_
#define LIBROUTING_SERVICE_TIME_ESTIMATOR_H_

#include "LibCore/time.h"

namespace wasabi::routing {

// Exponentially weighted means of the service time and of its tokens.
class ServiceTimeEstimator {
 public:
  // Notes a request of `tokens` outstanding work that ran for `elapsed`.
  void Observe(double tokens, core::Duration elapsed);

  // Mean time that a request runs.
  core::Duration Mean() const;

  // Expected time that a request of `tokens` outstanding work runs.
  core::Duration Expected(double tokens) const;

 private:
  // Assumed before the first observation.
  static constexpr double kInitialSeconds = 5;
  static constexpr double kInitialTokens = 500;

  double mean_seconds_ = kInitialSeconds;
  double mean_tokens_ = kInitialTokens;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_SERVICE_TIME_ESTIMATOR_H_
