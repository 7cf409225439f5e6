#include "LibRouting/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace wasabi::routing {

EndpointHealth::EndpointHealth(const EndpointHealthPolicy& policy)
    : policy_(policy) {}

void EndpointHealth::ObserveSuccess(core::TimePoint now) {
  failures_ = 0;
  if (!is_down_) {
    return;
  }
  if (now - down_since_ < hold_down_) {
    return;
  }
  ++successes_;
  if (successes_ >= policy_.successes_to_up) {
    MarkUp(now);
  }
}

void EndpointHealth::ObserveFailure(core::TimePoint now) {
  successes_ = 0;
  if (is_down_) {
    return;
  }
  ++failures_;
  if (failures_ >= policy_.failures_to_down) {
    MarkDown(now);
  }
}

void EndpointHealth::ObserveCrash(core::TimePoint now) {
  successes_ = 0;
  if (!is_down_) {
    MarkDown(now);
  }
}

void EndpointHealth::SetLeaving(bool is_leaving, core::TimePoint now) {
  if (is_leaving_ && !is_leaving) {
    BeginSlowStart(now);
  }
  is_leaving_ = is_leaving;
}

void EndpointHealth::BeginSlowStart(core::TimePoint now) {
  up_since_ = now;
  is_slow_start_ = true;
}

EndpointState EndpointHealth::state() const {
  if (is_leaving_) {
    return EndpointState::kLeaving;
  }
  return is_down_ ? EndpointState::kDown : EndpointState::kUp;
}

double EndpointHealth::Share(core::TimePoint now) const {
  constexpr double kSteps = 4;
  if (state() != EndpointState::kUp) {
    return 0;
  }
  if (!is_slow_start_ || now - up_since_ >= policy_.slow_start) {
    return 1;
  }
  const double progress =
      core::ToSeconds(now - up_since_) / core::ToSeconds(policy_.slow_start);
  return (std::floor(progress * kSteps) + 1) / kSteps;
}

void EndpointHealth::MarkDown(core::TimePoint now) {
  const bool is_relapse = hold_down_ > core::Duration::zero() &&
                          now - up_since_ < policy_.stable_time;
  hold_down_ = is_relapse ? std::min(hold_down_ * 2, policy_.max_hold_down)
                          : policy_.hold_down;
  is_down_ = true;
  down_since_ = now;
  failures_ = 0;
  successes_ = 0;
}

void EndpointHealth::MarkUp(core::TimePoint now) {
  is_down_ = false;
  successes_ = 0;
  BeginSlowStart(now);
}

}  // namespace wasabi::routing
