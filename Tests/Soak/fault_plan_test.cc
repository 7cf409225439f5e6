#include "Tests/Soak/fault_plan.h"

#include <catch2/catch.hpp>
#include <set>

namespace wasabi::soak {
namespace {

TEST_CASE("the same seed always produces the same faults") {
  SoakOptions options;
  options.seed = 7;
  CHECK(MakeFaultPlan(options) == MakeFaultPlan(options));
}

TEST_CASE("seeds cover every kind of fault, between warm-up and recovery") {
  std::set<FaultKind> kinds;
  for (uint64_t seed = 0; seed < 100; ++seed) {
    SoakOptions options;
    options.seed = seed;
    for (const FaultAction& it : MakeFaultPlan(options)) {
      kinds.insert(it.kind);
      CHECK(it.at >= options.warm_up);
      CHECK(it.at + it.duration < options.length - options.bounds.recovery);
    }
  }
  // The others come only in a family of their own.
  for (uint64_t seed = 0; seed < 40; ++seed) {
    SoakOptions options;
    options.seed = seed;
    options.family = seed < 20 ? kGrantFamily : kRebirthFamily;
    for (const FaultAction& it : MakeFaultPlan(options)) {
      kinds.insert(it.kind);
      CHECK(it.at >= options.warm_up);
      CHECK(it.at + it.duration < options.length - options.bounds.recovery);
    }
  }
  CHECK(kinds.size() == static_cast<size_t>(FaultKind::kCount));
}

TEST_CASE("the family of renewals comes only where it is asked for") {
  size_t renewals = 0;
  for (uint64_t seed = 0; seed < 100; ++seed) {
    SoakOptions options;
    options.seed = seed;
    const std::vector<FaultAction> seeded = MakeFaultPlan(options);
    options.family = seed % 5;
    CHECK(MakeFaultPlan(options) == seeded);
    options.family = kRenewalFamily;
    for (const FaultAction& it : MakeFaultPlan(options)) {
      renewals += it.kind == FaultKind::kRenewEndpoint ||
                          it.kind == FaultKind::kTakeAddressOver
                      ? 1
                      : 0;
      CHECK(it.at + it.duration < options.length - options.bounds.recovery);
    }
  }
  // Three a seed on average.
  CHECK(renewals >= 300);
}

}  // namespace
}  // namespace wasabi::soak
