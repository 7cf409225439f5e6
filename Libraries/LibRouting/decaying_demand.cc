#include "LibRouting/decaying_demand.h"

#include <algorithm>
#include <cmath>

namespace wasabi::routing {

void DecayingDemand::Add(double tokens,
                         core::Duration time_constant,
                         core::TimePoint now) {
  const double decay = Decay(time_constant, now);
  requests_ = requests_ * decay + 1;
  tokens_ = tokens_ * decay + tokens;
  updated_ = std::max(updated_, now);
}

double DecayingDemand::Requests(core::Duration time_constant,
                                core::TimePoint now) const {
  return requests_ * Decay(time_constant, now);
}

double DecayingDemand::Tokens(core::Duration time_constant,
                              core::TimePoint now) const {
  return tokens_ * Decay(time_constant, now);
}

double DecayingDemand::Decay(core::Duration time_constant,
                             core::TimePoint now) const {
  if (now <= updated_) {
    return 1;
  }
  return std::exp(-core::ToSeconds(now - updated_) /
                  core::ToSeconds(time_constant));
}

}  // namespace wasabi::routing
