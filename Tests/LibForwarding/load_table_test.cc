#include "LibForwarding/load_table.h"

#include <catch2/catch.hpp>

namespace wasabi::forwarding {
namespace {

using core::HostId;
using core::RunnerId;
using core::seconds;

const RunnerId kEndpoint("e");

LoadReport Report(uint64_t sequence, uint32_t requests) {
  return {.sequence = sequence,
          .requests = {{EndpointKeyOf(kEndpoint), requests}}};
}

TEST_CASE("own counts and the latest report of each host add up") {
  LoadTable board;
  const core::TimePoint now{seconds(1)};
  board.Start(kEndpoint);
  board.Start(kEndpoint);
  board.ApplyReport(HostId("a"), Report(1, 5), now);
  board.ApplyReport(HostId("b"), Report(1, 3), now);
  board.ApplyReport(HostId("a"), Report(2, 4), now);
  CHECK(board.Load(kEndpoint) == 9);
  board.Finish(kEndpoint);
  CHECK(board.Load(kEndpoint) == 8);
  CHECK(board.MakeReport().requests ==
        EndpointCounts{{EndpointKeyOf(kEndpoint), 1}});
}

TEST_CASE("a late report is dropped, a report after a restart is applied") {
  LoadTable board;
  const core::TimePoint now{seconds(1)};
  board.ApplyReport(HostId("a"), Report(40, 5), now);
  board.ApplyReport(HostId("a"), Report(39, 1), now);
  CHECK(board.Load(kEndpoint) == 5);
  board.ApplyReport(HostId("a"), Report(1, 2), now);
  CHECK(board.Load(kEndpoint) == 2);
}

TEST_CASE("a host that stops reporting is removed") {
  LoadTable board;
  board.ApplyReport(HostId("a"), Report(1, 5), core::TimePoint(seconds(1)));
  board.ApplyReport(HostId("b"), Report(1, 1), core::TimePoint(seconds(3)));
  board.Expire(seconds(1), core::TimePoint(seconds(3)));
  CHECK(board.Load(kEndpoint) == 1);
}

TEST_CASE("a total of the fleet replaces the reports of single hosts") {
  LoadTable board;
  const core::TimePoint now{seconds(1)};
  board.ApplyReport(HostId("a"), Report(1, 5), now);
  board.Start(kEndpoint);
  board.MakeReport();
  board.Start(kEndpoint);
  // The total includes one request of this host, which now has two.
  board.ApplyTotal({{EndpointKeyOf(kEndpoint), 9}}, board.reported_own_counts(),
                   now);
  CHECK(board.Load(kEndpoint) == 10);
  board.Finish(kEndpoint);
  board.Finish(kEndpoint);
  CHECK(board.Load(kEndpoint) == 8);
  board.ExpireTotal(seconds(2), now + seconds(2));
  CHECK(board.Load(kEndpoint) == 8);
  board.ExpireTotal(seconds(2), now + seconds(3));
  CHECK(board.Load(kEndpoint) == 5);
}

}  // namespace
}  // namespace wasabi::forwarding
