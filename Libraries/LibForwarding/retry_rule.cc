#include "LibForwarding/retry_rule.h"

namespace wasabi::forwarding {

namespace {

// Maximum number of sends of one request, including those that were refused.
constexpr uint32_t kMaxSends = 4;

}  // namespace

bool RetryRule::TakeResend(bool has_sent) {
  return clearance_.sends() < kMaxSends && (!has_sent || TakeRetry());
}

bool RetryRule::TakeRerun() {
  return IsRerunAllowed() && runs_ < request_.route->max_attempts &&
         clearance_.sends() < kMaxSends &&
         chooser_.HasOther(clearance_.tried()) && TakeRetry();
}

bool RetryRule::CanRetryIfAttemptFails() const {
  return IsRerunAllowed() && runs_ + 1 < request_.route->max_attempts &&
         clearance_.sends() < kMaxSends;
}

bool RetryRule::IsRerunAllowed() const {
  return request_.route->repeat != RepeatPolicy::kAtMostOnce &&
         (request_.route->repeat == RepeatPolicy::kResumable ||
          !transaction_.is_started());
}

bool RetryRule::TakeRetry() {
  return context_->RetryAllowanceFor(chooser_.pool())
      .TryRetry(context_->host_count(), context_->loop->Now());
}

}  // namespace wasabi::forwarding
