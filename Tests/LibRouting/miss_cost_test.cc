// Tests that the cost of a cold prefill determines whether a request waits for
// its warm runner or tries the next one.

#include <catch2/catch.hpp>
#include <string>

#include "LibRouting/runner_admission.h"

namespace wasabi::routing {
namespace {

struct Case {
  double miss_cost_factor;
  Verdict verdict;
};

TEST_CASE("a higher miss cost makes a warm request wait at the cap") {
  const auto it =
      GENERATE(Case{1, Verdict::kTryNext}, Case{1000, Verdict::kWait});
  AdmissionPolicy policy;
  policy.load_bound = 1;
  policy.miss_cost_factor = it.miss_cost_factor;
  RunnerAdmission admission(core::RunnerId("runner"), policy);
  const core::TimePoint now = core::TimePoint() + std::chrono::hours(1);
  WorkItem item;
  item.organisation = core::OrganisationId("organisation");
  item.chat = core::ChatKey("chat");
  item.size = {100, 80, 100};
  item.deadline = now + std::chrono::minutes(10);
  item.request = core::RequestId("first");
  const PoolDemand pool = {9, 9, 900};
  REQUIRE(admission.Offer(item, pool, now).verdict == Verdict::kRun);
  item.request = core::RequestId("second");
  CHECK(admission.Offer(item, pool, now).verdict == it.verdict);
}

}  // namespace
}  // namespace wasabi::routing
