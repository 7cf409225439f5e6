#include "LibForwarding/service_times.h"

#include <cmath>

namespace wasabi::forwarding {

namespace {

// Time in which the sums fade to a third, in seconds: some hundred requests of
// a host in a large fleet.
constexpr double kFadeSeconds = 30;
// Standard errors that a mean may be too low by.
constexpr double kErrors = 2;

}  // namespace

void ServiceTimes::Start(const core::PoolId& pool, core::TimePoint now) {
  ++Current(pool, now).running;
}

void ServiceTimes::Finish(const core::PoolId& pool, core::TimePoint now) {
  --Current(pool, now).running;
}

void ServiceTimes::RecordServed(const core::PoolId& pool, core::TimePoint now) {
  Current(pool, now).served += 1;
}

bool ServiceTimes::AreReportsUseful(const core::PoolId& pool,
                                    core::Duration age,
                                    core::TimePoint now) const {
  const auto it = pools_.find(pool);
  if (it == pools_.end()) {
    return true;
  }
  const Sums sums = At(it->second, now);
  if (sums.served <= 0) {
    return true;
  }
  // The error of a mean of times that scatter as much as they last.
  const double mean = sums.busy / sums.served;
  const double error = mean / std::sqrt(sums.served);
  return mean + kErrors * error >= core::ToSeconds(age);
}

ServiceTimes::Sums ServiceTimes::At(const Sums& sums, core::TimePoint now) {
  const double fade =
      std::exp(-core::ToSeconds(now - sums.updated_at) / kFadeSeconds);
  return {.running = sums.running,
          .busy = sums.busy * fade + sums.running * kFadeSeconds * (1 - fade),
          .served = sums.served * fade,
          .updated_at = now};
}

ServiceTimes::Sums& ServiceTimes::Current(const core::PoolId& pool,
                                          core::TimePoint now) {
  Sums& sums = pools_.try_emplace(pool, Sums{.updated_at = now}).first->second;
  sums = At(sums, now);
  return sums;
}

}  // namespace wasabi::forwarding
