// Estimates how many more requests would be running if none had been refused
// recently.

#ifndef LIBROUTING_DECAYING_DEMAND_H_
#define LIBROUTING_DECAYING_DEMAND_H_

#include "LibCore/time.h"

namespace wasabi::routing {

// An exponentially decaying counter of refused requests. By Little's law, the
// refusal rate times the mean service time is the number of requests that would
// be running. A counter whose decay time constant is the service time converges
// to that product.
class DecayingDemand {
 public:
  // Adds one refused request with `tokens` of outstanding work.
  void Add(double tokens, core::Duration time_constant, core::TimePoint now);

  // Return the decayed number of requests and of tokens at `now`.
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
