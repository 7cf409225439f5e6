// Whether an endpoint takes work, and how much of it.

#ifndef LIBROUTING_ENDPOINT_HEALTH_H_
#define LIBROUTING_ENDPOINT_HEALTH_H_

#include <compare>
#include <cstdint>

#include "LibCore/time.h"

namespace wasabi::routing {

struct EndpointHealthPolicy {
  // Consecutive failures that take an endpoint down, and consecutive successes
  // that bring it back.
  uint32_t failures_to_down = 3;
  uint32_t successes_to_up = 2;
  // Least time that an endpoint stays down. It doubles with each relapse
  // within `stable_time` after a return, up to the maximum.
  core::Duration hold_down = std::chrono::seconds(1);
  core::Duration max_hold_down = std::chrono::seconds(60);
  core::Duration stable_time = std::chrono::seconds(60);
  // Time in which an endpoint that returned comes up to its whole share.
  core::Duration slow_start = std::chrono::seconds(20);

  auto operator<=>(const EndpointHealthPolicy&) const = default;
};

enum class EndpointState : uint8_t { kUp, kDown, kLeaving };

// Hysteresis and a growing hold-down keep a flapping endpoint from moving its
// chats to and fro.
class EndpointHealth {
 public:
  // The endpoint is up with its whole share.
  explicit EndpointHealth(const EndpointHealthPolicy& policy = {});

  // A probe or an attempt succeeded.
  void ObserveSuccess(core::TimePoint now);
  // A probe or an attempt failed.
  void ObserveFailure(core::TimePoint now);
  // The endpoint died: it is down at once.
  void ObserveCrash(core::TimePoint now);
  // The endpoint, the platform or an operator said whether it is leaving.
  void SetLeaving(bool is_leaving, core::TimePoint now);
  // The endpoint is new in a pool that is already at work.
  void StartSlowly(core::TimePoint now);

  EndpointState state() const;

  // The share of work that it takes, for RunnerView::weight and
  // RunnerAdmission::SetLoadShare: 0 unless it is up, below 1 during slow
  // start. It grows in few steps, since each of them moves chats.
  double Share(core::TimePoint now) const;

 private:
  void GoDown(core::TimePoint now);
  void ComeUp(core::TimePoint now);

  EndpointHealthPolicy policy_;
  bool is_down_ = false;
  bool is_leaving_ = false;
  uint32_t failures_ = 0;
  uint32_t successes_ = 0;
  // Current hold-down; zero before the first one.
  core::Duration hold_down_ = core::Duration::zero();
  core::TimePoint down_since_;
  core::TimePoint up_since_;
  bool is_slow_start_ = false;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_ENDPOINT_HEALTH_H_
