#include "LibForwarding/load_report_assembly.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "LibCore/text.h"
#include "LibForwarding/load_table.h"

namespace wasabi::forwarding {
namespace {

constexpr size_t kMaxBytes = 200;

struct SizeCase {
  uint32_t endpoints;
  size_t parts;
};

TEST_CASE(
    "a report survives encoding and decoding, in any order of its parts") {
  const auto row =
      GENERATE(values<SizeCase>({{0, 1}, {2, 1}, {47, 1}, {48, 2}, {850, 19}}));
  INFO(row.endpoints << " endpoints");
  LoadReport report{.sequence = 1234567, .hosts = 295};
  for (uint32_t i = 0; i < row.endpoints; ++i) {
    report.requests.Add(i * 7919, i % 255 + 1);
  }
  std::vector<std::string> parts = EncodeLoadReport(report, kMaxBytes);
  REQUIRE(parts.size() == row.parts);
  std::reverse(parts.begin(), parts.end());
  LoadReportAssembly assembly;
  std::optional<LoadReport> whole;
  for (const std::string& it : parts) {
    CHECK(it.size() <= kMaxBytes);
    CHECK_FALSE(whole.has_value());
    const auto part = DecodeLoadReport(it);
    REQUIRE(part.ok());
    whole = assembly.Add(*part);
  }
  REQUIRE(whole.has_value());
  CHECK(*whole == report);
}

TEST_CASE("a report that lacks a part is replaced by the next one") {
  LoadReport report{.sequence = 1};
  for (uint32_t i = 0; i < 60; ++i) {
    report.requests.Add(i, 1);
  }
  LoadReportAssembly assembly;
  const auto first = EncodeLoadReport(report, kMaxBytes);
  CHECK_FALSE(assembly.Add(*DecodeLoadReport(first[0])).has_value());
  report.sequence = 2;
  const auto second = EncodeLoadReport(report, kMaxBytes);
  CHECK_FALSE(assembly.Add(*DecodeLoadReport(second[1])).has_value());
  CHECK_FALSE(assembly.Add(*DecodeLoadReport(second[1])).has_value());
  CHECK(assembly.Add(*DecodeLoadReport(second[0])) == report);
}

// Guards against the reports of two processes of a host that pass for one.
TEST_CASE("no part of a report comes from a host's previous process") {
  constexpr uint32_t kEndpoints = 100;
  constexpr uint64_t kNextProcess = 1'000'000;
  LoadTable before(0);
  LoadTable restarted(kNextProcess);
  for (uint32_t i = 0; i < kEndpoints; ++i) {
    const core::RunnerId endpoint(fmt::format("e{}", i));
    before.Start(endpoint);
    restarted.Start(endpoint);
    restarted.Start(endpoint);
  }
  const core::HostId host("h0");
  const LoadReport last = before.MakeReport();
  const LoadReport first = restarted.MakeReport();
  LoadReportAssembly assembly;
  const auto old_part =
      DecodeLoadReport(EncodeLoadReport(last, kMaxBytes).front());
  REQUIRE(old_part.ok());
  CHECK_FALSE(assembly.Add(*old_part).has_value());
  std::optional<LoadReport> whole;
  for (const std::string& it : EncodeLoadReport(first, kMaxBytes)) {
    whole = assembly.Add(*DecodeLoadReport(it));
  }
  CHECK((whole.has_value() && *whole == first));
  // The report of the process before has arrived whole.
  LoadTable other;
  const core::TimePoint now{core::seconds(1)};
  other.ApplyReport(host, last, now);
  other.ApplyReport(host, first, now);
  CHECK(other.Load(core::RunnerId("e0")) == 2);
}

TEST_CASE("malformed reports are rejected") {
  const std::string bytes =
      EncodeLoadReport({.requests = {{1, 1}}}, kMaxBytes).front();
  CHECK(DecodeLoadReport(bytes).ok());
  CHECK_FALSE(DecodeLoadReport("").ok());
  CHECK_FALSE(DecodeLoadReport(bytes.substr(1)).ok());
  // Part 1 of 1.
  std::string part = bytes;
  part[8] = 1;
  CHECK_FALSE(DecodeLoadReport(part).ok());
}

}  // namespace
}  // namespace wasabi::forwarding
