#include "LibRouting/endpoint_health.h"

#include <catch2/catch.hpp>

namespace wasabi::routing {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("isolated failures don't mark an endpoint down") {
  EndpointHealth health;
  for (int i = 0; i < 100; ++i) {
    health.ObserveFailure(kStart);
    health.ObserveFailure(kStart);
    health.ObserveSuccess(kStart);
  }
  CHECK(health.Share(kStart) == 1);
  health.ObserveFailure(kStart);
  health.ObserveFailure(kStart);
  health.ObserveFailure(kStart);
  CHECK(health.state() == EndpointState::kDown);
  CHECK(health.Share(kStart) == 0);
}

TEST_CASE("an endpoint that comes up again begins a slow start") {
  EndpointHealth health;
  health.ObserveCrash(kStart);
  health.ObserveSuccess(kStart + milliseconds(900));
  health.ObserveSuccess(kStart + milliseconds(1000));
  CHECK(health.state() == EndpointState::kDown);
  health.ObserveSuccess(kStart + milliseconds(1100));
  CHECK(health.state() == EndpointState::kUp);
  const core::TimePoint up = kStart + milliseconds(1100);
  CHECK(health.Share(up) == 0.25);
  CHECK(health.Share(up + seconds(6)) == 0.5);
  CHECK(health.Share(up + seconds(19)) == 1);
  CHECK(health.Share(up + seconds(20)) == 1);
}

TEST_CASE("an endpoint that flaps every second comes up less and less often") {
  EndpointHealth health;
  int returns = 0;
  core::TimePoint now = kStart;
  for (int i = 0; i < 600; ++i, now += seconds(1)) {
    const bool was_down = health.state() == EndpointState::kDown;
    health.ObserveSuccess(now);
    health.ObserveSuccess(now);
    returns += was_down && health.state() == EndpointState::kUp ? 1 : 0;
    health.ObserveCrash(now + milliseconds(500));
  }
  CHECK(returns > 6);
  CHECK(returns < 20);
}

TEST_CASE("a leaving endpoint gets no work, and returns with a slow start") {
  EndpointHealth health;
  health.SetLeaving(true, kStart);
  CHECK(health.state() == EndpointState::kLeaving);
  CHECK(health.Share(kStart) == 0);
  health.SetLeaving(false, kStart + seconds(5));
  CHECK(health.Share(kStart + seconds(5)) == 0.25);
}

}  // namespace
}  // namespace wasabi::routing
