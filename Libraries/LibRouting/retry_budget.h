// The retries that a pool may cost beside its first attempts. Only the entry
// retries, so that retries of several layers don't multiply.

#ifndef LIBROUTING_RETRY_BUDGET_H_
#define LIBROUTING_RETRY_BUDGET_H_

#include <compare>

#include "LibCore/time.h"

namespace wasabi::routing {

struct RetryBudgetPolicy {
  // Retries per first attempt.
  double ratio = 0.1;
  // Retries per second that are allowed whatever the traffic.
  double minimum_per_second = 1;
  // Most retries that can be saved up.
  double capacity = 50;

  auto operator<=>(const RetryBudgetPolicy&) const = default;
};

class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetPolicy& policy, core::TimePoint now);

  // Notes a first attempt.
  void RecordAttempt(core::TimePoint now);

  // Takes one retry from the budget; false where none is left.
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
