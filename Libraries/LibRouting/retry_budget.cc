#include "LibRouting/retry_budget.h"

#include <algorithm>

namespace wasabi::routing {

RetryBudget::RetryBudget(const RetryBudgetPolicy& policy, core::TimePoint now)
    : policy_(policy),
      retries_(std::max(1.0, policy.minimum_per_second)),
      updated_(now) {}

void RetryBudget::RecordAttempt(core::TimePoint now) {
  Refill(now);
  Deposit(policy_.ratio);
}

bool RetryBudget::TryRetry(core::TimePoint now) {
  Refill(now);
  if (retries_ < 1) {
    return false;
  }
  retries_ -= 1;
  return true;
}

void RetryBudget::Refill(core::TimePoint now) {
  if (now <= updated_) {
    return;
  }
  Deposit(policy_.minimum_per_second * core::ToSeconds(now - updated_));
  updated_ = now;
}

void RetryBudget::Deposit(double retries) {
  retries_ = std::min(policy_.capacity, retries_ + retries);
}

}  // namespace wasabi::routing
