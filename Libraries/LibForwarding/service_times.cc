#include "LibForwarding/service_times.h"

#include <cmath>

namespace wasabi::forwarding {

namespace {

// Time in which the sums decay to 1/e, about a third, in seconds. It covers
// some hundred requests of a host in a large fleet.
constexpr double kDecaySeconds = 30;
// Requests after whose end a mean is known well enough to forecast by, with a
// standard error of a third.
constexpr double kMinServed = 9;
// Number of standard errors by which the mean may be underestimated.
constexpr double kErrorMargin = 2;

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

std::optional<core::Duration> ServiceTimes::Mean(const core::PoolId& pool,
                                                 core::TimePoint now) const {
  const auto it = pools_.find(pool);
  if (it == pools_.end()) {
    return std::nullopt;
  }
  const Sums sums = At(it->second, now);
  if (sums.served < kMinServed || sums.busy <= 0) {
    return std::nullopt;
  }
  return core::FromSeconds(sums.busy / sums.served);
}

core::Duration ServiceTimes::MeanSoFar(const core::PoolId& pool,
                                       core::TimePoint now) const {
  const auto it = pools_.find(pool);
  if (it == pools_.end()) {
    return core::Duration::zero();
  }
  const Sums sums = At(it->second, now);
  return sums.served > 0 ? core::FromSeconds(sums.busy / sums.served)
                         : core::Duration::zero();
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
  // Standard error of the mean, for times whose standard deviation equals their
  // mean.
  const double mean = sums.busy / sums.served;
  const double error = mean / std::sqrt(sums.served);
  return mean + kErrorMargin * error >= core::ToSeconds(age);
}

ServiceTimes::Sums ServiceTimes::At(const Sums& sums, core::TimePoint now) {
  const double decay_factor =
      std::exp(-core::ToSeconds(now - sums.updated_at) / kDecaySeconds);
  return {.running = sums.running,
          .busy = sums.busy * decay_factor +
                  sums.running * kDecaySeconds * (1 - decay_factor),
          .served = sums.served * decay_factor,
          .updated_at = now};
}

ServiceTimes::Sums& ServiceTimes::Current(const core::PoolId& pool,
                                          core::TimePoint now) {
  Sums& sums = pools_.try_emplace(pool, Sums{.updated_at = now}).first->second;
  sums = At(sums, now);
  return sums;
}

}  // namespace wasabi::forwarding
