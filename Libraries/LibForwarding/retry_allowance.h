// Limits this host to its part of the retries that the whole fleet may send to
// a pool in a sliding window. Hosts do not coordinate, so the limit of the
// fleet also holds while they cannot reach each other. Performs no I/O; the
// caller passes in the time.
//
// A process knows nothing of the retries that its predecessor sent, and may not
// know all hosts yet. Until a window has passed since its start it therefore
// has no slack, and uses only the part of the ratio that hosts leave unused
// otherwise. However many hosts are killed and however often, their retries
// after each start are bounded by requests after that start.

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
  // Retries that this host sent before `known_from`, usually the start of the
  // process, are unknown.
  RetryAllowance(const RetryAllowancePolicy& policy, core::TimePoint known_from)
      : policy_(policy), known_from_(known_from) {}

  // Records a request of a caller to the pool.
  void RecordRequest(core::TimePoint now);
  // Uses up one retry and returns true, or returns false if none is left. The
  // slack is divided among `host_count` hosts.
  bool TryRetry(size_t host_count, core::TimePoint now);
  // Returns whether the retries of the window that ends at `now` are known.
  bool KnowsWindow(core::TimePoint now) const {
    return now >= known_from_ + policy_.window;
  }

 private:
  void Forget(core::TimePoint now);
  // Returns the retries allowed in the window that ends at `now`.
  double Allowed(size_t host_count, core::TimePoint now) const;

  const RetryAllowancePolicy policy_;
  const core::TimePoint known_from_;
  std::deque<core::TimePoint> requests_;
  std::deque<core::TimePoint> retries_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_RETRY_ALLOWANCE_H_
