#include "LibForwarding/endpoint_monitor.h"

#include <catch2/catch.hpp>

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

const core::RunnerId kEndpoint("e");

TEST_CASE("the hold-down of an unreachable endpoint grows with each failure") {
  EndpointMonitor monitor;
  core::TimePoint now{seconds(10)};
  core::Duration before{};
  for (int i = 0; i < 5; ++i) {
    monitor.RecordUnreachable(kEndpoint, now);
    core::Duration held{};
    while (monitor.IsDown(kEndpoint, now + held)) {
      held += milliseconds(10);
    }
    CHECK(held >= before);
    before = held;
    now += held;
  }
  CHECK(before <= seconds(2));
  monitor.RecordSuccess(kEndpoint, now);
  CHECK_FALSE(monitor.IsDown(kEndpoint, now));
}

TEST_CASE("simultaneous connection failures count once") {
  EndpointMonitor monitor;
  const core::TimePoint now{seconds(10)};
  for (int i = 0; i < 10; ++i) {
    monitor.RecordUnreachable(kEndpoint, now);
  }
  CHECK_FALSE(monitor.IsDown(kEndpoint, now + milliseconds(301)));
}

TEST_CASE("the failure share follows the outcomes and decays") {
  EndpointMonitor monitor;
  const core::TimePoint now{seconds(10)};
  for (int i = 0; i < 50; ++i) {
    monitor.RecordSuccess(kEndpoint, now);
    monitor.RecordFailure(kEndpoint, now);
  }
  const double share = monitor.FailureShare(kEndpoint, now);
  CHECK(share > 0.35);
  CHECK(share < 0.65);
  CHECK(monitor.FailureShare(kEndpoint, now + seconds(10)) < 0.05);
  monitor.Forget(kEndpoint);
  CHECK(monitor.FailureShare(kEndpoint, now) == 0);
}

}  // namespace
}  // namespace wasabi::forwarding
