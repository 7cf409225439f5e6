// Tracks the health of an endpoint and derives the share of work it receives.

#ifndef LIBROUTING_ENDPOINT_HEALTH_H_
#define LIBROUTING_ENDPOINT_HEALTH_H_

#include <compare>
#include <cstdint>

#include "LibCore/time.h"

namespace wasabi::routing {

struct EndpointHealthPolicy {
  // Number of consecutive failures after which an endpoint is marked down, and
  // of consecutive successes after which it is marked up again.
  uint32_t failures_to_down = 3;
  uint32_t successes_to_up = 2;
  // Minimum time that an endpoint stays down. It doubles each time the endpoint
  // goes down again within `stable_time` of coming up, up to `max_hold_down`.
  core::Duration hold_down = std::chrono::seconds(1);
  core::Duration max_hold_down = std::chrono::seconds(60);
  core::Duration stable_time = std::chrono::seconds(60);
  // Time over which the share of an endpoint that came up ramps up to 1.
  core::Duration slow_start = std::chrono::seconds(20);

  auto operator<=>(const EndpointHealthPolicy&) const = default;
};

enum class EndpointState : uint8_t { kUp, kDown, kLeaving };

// The state machine of one endpoint. Hysteresis and an exponentially growing
// hold-down prevent a flapping endpoint from repeatedly moving chats.
class EndpointHealth {
 public:
  // Creates an endpoint in the state kUp with a share of 1.
  explicit EndpointHealth(const EndpointHealthPolicy& policy = {});

  // Records that a probe or a request attempt succeeded.
  void ObserveSuccess(core::TimePoint now);
  // Records that a probe or a request attempt failed.
  void ObserveFailure(core::TimePoint now);
  // Records that the endpoint crashed, and marks it down immediately.
  void ObserveCrash(core::TimePoint now);
  // Sets whether the endpoint is leaving, as reported by the endpoint itself,
  // the platform or an operator. Clearing the flag begins a slow start.
  void SetLeaving(bool is_leaving, core::TimePoint now);
  // Begins a slow start, e.g. for an endpoint that joins a pool which already
  // serves requests.
  void BeginSlowStart(core::TimePoint now);

  EndpointState state() const;

  // Returns the endpoint's share of work, for RunnerView::weight and
  // RunnerAdmission::SetLoadShare: 0 unless the endpoint is up, below 1 during
  // slow start. The share grows in a few steps only, because each step moves
  // chats between runners.
  double Share(core::TimePoint now) const;

 private:
  void MarkDown(core::TimePoint now);
  void MarkUp(core::TimePoint now);

  EndpointHealthPolicy policy_;
  bool is_down_ = false;
  bool is_leaving_ = false;
  uint32_t failures_ = 0;
  uint32_t successes_ = 0;
  // Current hold-down time; zero until the endpoint first goes down.
  core::Duration hold_down_ = core::Duration::zero();
  core::TimePoint down_since_;
  core::TimePoint up_since_;
  bool is_slow_start_ = false;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_ENDPOINT_HEALTH_H_
