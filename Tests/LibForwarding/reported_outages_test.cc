#include "LibForwarding/reported_outages.h"

#include <catch2/catch.hpp>

#include "LibForwarding/load_table.h"

namespace wasabi::forwarding {
namespace {

using core::HostId;
using core::milliseconds;
using core::seconds;

const core::RunnerId kEndpoint("e");
const core::RunnerId kOther("o");
constexpr core::TimePoint kNow{seconds(10)};

std::vector<uint32_t> Keys(const core::RunnerId& endpoint) {
  return {LoadTable::KeyOf(endpoint)};
}

TEST_CASE("an endpoint is silent when two hosts report it") {
  ReportedOutages outages;
  outages.ApplyReport(HostId("a"), Keys(kEndpoint), kNow);
  outages.ApplyReport(HostId("a"), Keys(kEndpoint), kNow);
  CHECK_FALSE(outages.IsSilent(kEndpoint, kNow));
  outages.ApplyReport(HostId("b"), Keys(kEndpoint), kNow);
  CHECK(outages.IsSilent(kEndpoint, kNow));
  CHECK_FALSE(outages.IsSilent(kOther, kNow));
}

TEST_CASE("a host's next report replaces its previous one") {
  ReportedOutages outages;
  outages.ApplyReport(HostId("a"), Keys(kEndpoint), kNow);
  outages.ApplyReport(HostId("b"), Keys(kEndpoint), kNow);
  outages.ApplyReport(HostId("b"), Keys(kOther), kNow);
  CHECK_FALSE(outages.IsSilent(kEndpoint, kNow));
}

TEST_CASE("reports of a silent endpoint expire") {
  ReportedOutages outages;
  outages.ApplyReport(HostId("a"), Keys(kEndpoint), kNow);
  outages.ApplyReport(HostId("b"), Keys(kEndpoint), kNow);
  CHECK(outages.IsSilent(kEndpoint, kNow + milliseconds(1400)));
  CHECK_FALSE(outages.IsSilent(kEndpoint, kNow + milliseconds(1600)));
}

TEST_CASE("a restarted endpoint is not silent") {
  ReportedOutages outages;
  outages.ApplyReport(HostId("a"), Keys(kEndpoint), kNow);
  outages.ApplyReport(HostId("b"), Keys(kEndpoint), kNow);
  outages.Forget(kEndpoint);
  CHECK_FALSE(outages.IsSilent(kEndpoint, kNow));
}

}  // namespace
}  // namespace wasabi::forwarding
