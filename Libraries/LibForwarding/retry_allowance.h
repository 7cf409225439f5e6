// This host's part of the retries that the whole fleet may send to a pool in a
// sliding window. Hosts don't ask each other, so the sum holds also while they
// can't reach each other. Pure decision code.

#ifndef LIBFORWARDING_RETRY_ALLOWANCE_H_
#define LIBFORWARDING_RETRY_ALLOWANCE_H_

#include <compare>
#include <cstddef>
#include <deque>

#include "LibCore/time.h"

namespace wasabi::forwarding {

struct RetryAllowancePolicy {
  // Retries per request.
  double ratio = 0.1;
  // Retries in a window that the fleet may send whatever the traffic.
  double slack = 10;
  core::Duration window = core::seconds(10);

  auto operator<=>(const RetryAllowancePolicy&) const = default;
};

class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryAllowancePolicy& policy)
      : policy_(policy) {}

  // A caller's request for the pool.
  void RecordRequest(core::TimePoint now);
  // Takes a retry where one is left; `host_count` hosts share the slack.
  bool TryRetry(size_t host_count, core::TimePoint now);

 private:
  void Forget(core::TimePoint now);

  const RetryAllowancePolicy policy_;
  std::deque<core::TimePoint> requests_;
  std::deque<core::TimePoint> retries_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_RETRY_ALLOWANCE_H_
