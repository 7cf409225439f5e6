// Demand that was refused lately, as the concurrency that it would have been.

#ifndef LIBROUTING_DECAYING_DEMAND_H_
#define LIBROUTING_DECAYING_DEMAND_H_

#include "LibCore/time.h"

namespace wasabi::routing {

// By Little's law a rate of refusals times the mean service time is the number
// of requests that would be running. A counter that decays with the service
// time as its time constant converges to that product.
class DecayingDemand {
 public:
  // Adds one request with `tokens` of outstanding work.
  void Add(double tokens, core::Duration time_constant, core::TimePoint now);

  // Decayed numbers at `now`.
  double Requests(core::Duration time_constant, core::TimePoint now) const;
  double Tokens(core::Duration time_constant, core::TimePoint now) const;

 private:
  double Decay(core::Duration time_constant, core::TimePoint now) const;

  double requests_ = 0;
  double tokens_ = 0;
  core::TimePoint updated_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_DECAYING_DEMAND_H_
