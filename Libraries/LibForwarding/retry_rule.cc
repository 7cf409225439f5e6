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
  const core::TimePoint now = context_->loop->Now();
  RetryAllowance& allowance = context_->RetryAllowanceFor(chooser_.pool());
  if (allowance.TryRetry(context_->host_count(), now)) {
    return true;
  }
  ++context_->metrics->Counter("forward_retries_denied");
  if (!allowance.KnowsWindow(now)) {
    ++context_->metrics->Counter("forward_retries_denied_after_start");
  }
  return false;
}

}  // namespace wasabi::forwarding
