#include "LibForwarding/retry_allowance.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

// Fraction of the allowance that is used. The rest covers the difference
// between the windows of the hosts, which are not aligned.
constexpr double kUsableFraction = 0.8;

}  // namespace

void RetryAllowance::RecordRequest(core::TimePoint now) {
  Forget(now);
  requests_.push_back(now);
}

bool RetryAllowance::TryRetry(size_t host_count, core::TimePoint now) {
  Forget(now);
  const double hosts = static_cast<double>(std::max<size_t>(host_count, 1));
  const double allowed =
      kUsableFraction * (policy_.ratio * static_cast<double>(requests_.size()) +
                         policy_.slack / hosts);
  if (static_cast<double>(retries_.size()) + 1 > allowed) {
    return false;
  }
  retries_.push_back(now);
  return true;
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
