#include "LibRouting/service_time_estimator.h"

#include <catch2/catch.hpp>

namespace wasabi::routing {
namespace {

using core::milliseconds;
using core::seconds;

TEST_CASE("the first observation replaces the initial values") {
  ServiceTimeEstimator estimator;
  estimator.Observe({.prefill_seconds = 1, .output_tokens = 100}, seconds(3));
  CHECK(estimator.Mean() == seconds(3));
  const core::Duration expected =
      estimator.Expected({.prefill_seconds = 0.5, .output_tokens = 200});
  CHECK(core::ToSeconds(expected) == Approx(4.5));
}

TEST_CASE("the estimate follows a change of speed") {
  ServiceTimeEstimator estimator;
  const ServiceDemand demand = {.prefill_seconds = 0, .output_tokens = 100};
  for (int i = 0; i < 100; ++i) {
    estimator.Observe(demand, seconds(1));
  }
  for (int i = 0; i < 100; ++i) {
    estimator.Observe(demand, seconds(4));
  }
  CHECK(core::ToSeconds(estimator.Mean()) == Approx(4).epsilon(0.01));
  CHECK(core::ToSeconds(estimator.Expected(demand)) == Approx(4).epsilon(0.01));
}

TEST_CASE("instantaneous requests leave a positive mean") {
  ServiceTimeEstimator estimator;
  estimator.Observe({}, core::Duration::zero());
  CHECK(estimator.Mean() == milliseconds(1));
}

}  // namespace
}  // namespace wasabi::routing
