#include "LibForwarding/load_table.h"

#include <catch2/catch.hpp>

namespace wasabi::forwarding {
namespace {

using core::HostId;
using core::RunnerId;
using core::seconds;

const RunnerId kEndpoint("e");

LoadReport Report(uint64_t sequence, uint32_t requests) {
  LoadReport report;
  report.sequence = sequence;
  report.requests = {{LoadTable::KeyOf(kEndpoint), requests}};
  return report;
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
        std::vector<std::pair<uint32_t, uint32_t>>{
            {LoadTable::KeyOf(kEndpoint), 1}});
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

TEST_CASE("a report survives encoding and decoding") {
  LoadReport report;
  report.sequence = 1234567;
  report.requests = {{0x00ffee, 3}, {0x123456, 255}};
  const std::string bytes = EncodeLoadReport(report);
  const auto back = DecodeLoadReport(bytes);
  REQUIRE(back.ok());
  CHECK(*back == report);
  CHECK_FALSE(DecodeLoadReport(bytes.substr(1)).ok());
  CHECK_FALSE(DecodeLoadReport("").ok());
}

}  // namespace
}  // namespace wasabi::forwarding
