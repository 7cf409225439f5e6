#include "LibForwarding/retry_allowance.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

// Fraction of the allowance that hosts leave unused. It covers the difference
// between their windows, which are not aligned, and the retries of hosts that
// have just started.
constexpr double kUnusedFraction = 0.2;
constexpr double kUsableFraction = 1 - kUnusedFraction;

}  // namespace

void RetryAllowance::RecordRequest(core::TimePoint now) {
  Forget(now);
  requests_.push_back(now);
}

bool RetryAllowance::TryRetry(size_t host_count, core::TimePoint now) {
  Forget(now);
  if (static_cast<double>(retries_.size()) + 1 > Allowed(host_count, now)) {
    return false;
  }
  retries_.push_back(now);
  return true;
}

double RetryAllowance::Allowed(size_t host_count, core::TimePoint now) const {
  const double by_requests =
      policy_.ratio * static_cast<double>(requests_.size());
  if (!KnowsWindow(now)) {
    return kUnusedFraction * by_requests;
  }
  const double hosts = static_cast<double>(std::max<size_t>(host_count, 1));
  return kUsableFraction * (by_requests + policy_.slack / hosts);
}

void RetryAllowance::Forget(core::TimePoint now) {
  const core::TimePoint oldest = now - policy_.window;
  for (auto* times : {&requests_, &retries_}) {
    while (!times->empty() && times->front() < oldest) {
      times->pop_front();
    }
  }
}

}  // namespace wasabi::forwarding
