#include <catch2/catch.hpp>

#include "LibRouting/rate_limiter.h"
#include "LibRouting/retry_budget.h"

namespace wasabi::routing {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("retries stay within their ratio to first attempts") {
  RetryBudget budget({.ratio = 0.1, .minimum_per_second = 1, .capacity = 50},
                     kStart);
  int retries = 0;
  constexpr int kAttempts = 10000;
  constexpr int kSeconds = 10;
  for (int i = 0; i < kAttempts; ++i) {
    const core::TimePoint now = kStart + milliseconds(i);
    budget.RecordAttempt(now);
    retries += budget.TryRetry(now) ? 1 : 0;
  }
  CHECK(retries <= kAttempts / 10 + kSeconds + 1);
  CHECK(retries >= kAttempts / 10);
}

TEST_CASE("a pool without traffic is allowed the minimum retry rate") {
  RetryBudget budget({}, kStart);
  CHECK(budget.TryRetry(kStart));
  CHECK_FALSE(budget.TryRetry(kStart));
  CHECK(budget.TryRetry(kStart + seconds(1)));
}

TEST_CASE("routers share an organisation's rate") {
  const auto routers = GENERATE(1U, 8U, 100U);
  RateLimiter limiter;
  limiter.SetRouterCount(routers);
  const core::OrganisationId organisation("salazar");
  constexpr double kRate = 200;
  constexpr int kSeconds = 60;
  int taken = 0;
  for (int i = 0; i < kSeconds * 1000; ++i) {
    const core::TimePoint now = kStart + milliseconds(i);
    taken += limiter.Take(organisation, kRate, now) == core::Duration::zero()
                 ? 1
                 : 0;
  }
  const double share = kRate / routers;
  CHECK(taken <= share * (kSeconds + 2) + 1);
  CHECK(taken >= share * kSeconds - 1);
}

TEST_CASE("a rate-limited organisation gets the time until it is admitted") {
  RateLimiter limiter;
  const core::OrganisationId organisation("salazar");
  CHECK(limiter.Take(organisation, 0.5, kStart) == core::Duration::zero());
  const core::Duration wait = limiter.Take(organisation, 0.5, kStart);
  CHECK(wait == seconds(2));
  CHECK(limiter.Take(organisation, 0.5, kStart + wait) ==
        core::Duration::zero());
  CHECK(limiter.Take(organisation, 0, kStart) == core::Duration::zero());
  CHECK(limiter.size() == 0);
}

}  // namespace
}  // namespace wasabi::routing
