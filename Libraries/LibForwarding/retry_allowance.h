// Limits this host to its part of the retries that the whole fleet may send to
// a pool in a sliding window. Hosts do not coordinate, so the limit of the
// fleet also holds while they cannot reach each other. Performs no I/O; the
// caller passes in the time.

#ifndef LIBFORWARDING_RETRY_ALLOWANCE_H_
#define LIBFORWARDING_RETRY_ALLOWANCE_H_

#include <compare>
#include <cstddef>
#include <deque>

#include "LibCore/time.h"

namespace wasabi::forwarding {

struct RetryAllowancePolicy {
  // Retries allowed per request.
  double ratio = 0.1;
  // Additional retries that the fleet may send per window, independent of
  // traffic.
  double slack = 10;
  core::Duration window = core::seconds(10);

  auto operator<=>(const RetryAllowancePolicy&) const = default;
};

class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryAllowancePolicy& policy)
      : policy_(policy) {}

  // Records a request of a caller to the pool.
  void RecordRequest(core::TimePoint now);
  // Uses up one retry and returns true, or returns false if none is left. The
  // slack is divided among `host_count` hosts.
  bool TryRetry(size_t host_count, core::TimePoint now);

 private:
  void Forget(core::TimePoint now);

  const RetryAllowancePolicy policy_;
  std::deque<core::TimePoint> requests_;
  std::deque<core::TimePoint> retries_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_RETRY_ALLOWANCE_H_
