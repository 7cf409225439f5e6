// Sums of waiting requests over a fleet whose reports saturate at 255.

#include "LibForwarding/waiting_counts.h"

#include <catch2/catch.hpp>
#include <vector>

#include "LibCore/text.h"

namespace wasabi::forwarding {
namespace {

const core::PoolId kPool("p");
constexpr size_t kMaxBytes = 1200;
constexpr size_t kDataCentres = 3;

void Join(WaitQueue& queue, int priority, const char* organisation) {
  routing::WorkItem item;
  item.priority = PriorityClassOf(priority);
  item.organisation = core::OrganisationId(organisation);
  queue.Join(kPool, item, []() { return false; });
}

// Returns the counts after they were sent.
EndpointCounts Sent(const EndpointCounts& counts) {
  LoadReport report;
  report.requests = counts;
  EndpointCounts received;
  for (const std::string& it : EncodeLoadReport(report, kMaxBytes)) {
    received.Add(DecodeLoadReport(it)->requests);
  }
  return received;
}

struct SumCase {
  size_t hosts;
  size_t waiting_per_host;
  // Share by which the sum may be wrong: none while sums don't saturate.
  double tolerance;
};

// Guards against saturated sums, from which a host would conclude that few
// requests wait while thousands do.
TEST_CASE("hosts know how many requests wait in the fleet") {
  const auto it = GENERATE(SumCase{8, 2, 0}, SumCase{90, 2, 0},
                           SumCase{90, 3, 0.3}, SumCase{90, 30, 0.1},
                           SumCase{300, 1, 0.3}, SumCase{300, 10, 0.15});
  core::RandomSource random(5);
  WaitQueue queue;
  for (size_t i = 0; i < it.waiting_per_host; ++i) {
    Join(queue, 1, i % 2 == 0 ? "large" : "other");
  }
  std::vector<EndpointCounts> sums(kDataCentres);
  for (size_t i = 0; i < it.hosts; ++i) {
    sums[i % kDataCentres].Add(Sent(WaitingCountsOf(queue, random)));
  }
  EndpointCounts total;
  for (const EndpointCounts& sum : sums) {
    total.Add(Sent(sum));
  }
  LoadTable loads;
  loads.ApplyTotal(Sent(total), {}, core::TimePoint());
  const auto waiting = WaitingElsewhere(loads, kPool);
  const auto exact = static_cast<double>(it.hosts * it.waiting_per_host);
  REQUIRE(waiting.size() == 1);
  CHECK(waiting.at(PriorityClassOf(1)) ==
        Approx(exact).epsilon(it.tolerance + 1e-9));
  // Only organisations with several waiting requests on a host are reported.
  const bool is_reported = (it.waiting_per_host + 1) / 2 >= 3;
  CHECK((WaitingElsewhere(loads, kPool, core::OrganisationId("large")) > 0) ==
        is_reported);
  CHECK(WaitingElsewhere(loads, core::PoolId("q")).empty());
}

// Guards against control traffic that grows with the number of organisations.
TEST_CASE("a host reports a bounded number of counts") {
  core::RandomSource random(5);
  WaitQueue queue;
  for (int i = 0; i < 500; ++i) {
    Join(queue, i % 3, fmt::format("o{}", i % 100).c_str());
  }
  // Three priorities and four organisations, twice each.
  CHECK(WaitingCountsOf(queue, random).size() <= 14);
}

TEST_CASE("counts that are not about endpoints are replaced") {
  LoadTable loads;
  loads.Start(core::RunnerId("e"));
  loads.SetOtherCounts({{1, 5}});
  loads.SetOtherCounts({{2, 6}});
  CHECK(loads.OwnLoad(core::RunnerId("e")) == 1);
  CHECK(loads.own_counts().Of(1) == 0);
  CHECK(loads.own_counts().Of(2) == 6);
}

}  // namespace
}  // namespace wasabi::forwarding
