// Limits the number of retries in a pool relative to its first attempts. Only
// the entry router retries, so that retries in several layers do not multiply.

#ifndef LIBROUTING_RETRY_BUDGET_H_
#define LIBROUTING_RETRY_BUDGET_H_

#include <compare>

#include "LibCore/time.h"

namespace wasabi::routing {

struct RetryBudgetPolicy {
  // Retries allowed per first attempt.
  double ratio = 0.1;
  // Retries allowed per second regardless of the traffic.
  double minimum_per_second = 1;
  // Maximum number of unused retries that accumulate.
  double capacity = 50;

  auto operator<=>(const RetryBudgetPolicy&) const = default;
};

// A token bucket of retries.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetPolicy& policy, core::TimePoint now);

  // Records a first attempt, which adds to the budget.
  void RecordAttempt(core::TimePoint now);

  // Takes one retry from the budget. Returns false if the budget is exhausted.
  bool TryRetry(core::TimePoint now);

 private:
  void Refill(core::TimePoint now);
  void Deposit(double retries);

  RetryBudgetPolicy policy_;
  double retries_;
  core::TimePoint updated_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_RETRY_BUDGET_H_
