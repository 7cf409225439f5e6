#include "LibForwarding/limit_table.h"

#include <catch2/catch.hpp>
#include <limits>

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kStart{seconds(100)};
constexpr uint64_t kEndpoint = 7;

LimitReport Report(double per_second, core::Duration age) {
  return {.endpoint = kEndpoint,
          .per_second = per_second,
          .age_milliseconds = core::ToMilliseconds(age)};
}

struct ReportCase {
  const char* what;
  // What an answer said two seconds before the report arrives; 0 for an answer
  // without a limit after one with, nullopt if there was no answer.
  std::optional<double> known;
  LimitReport report;
  std::optional<double> limit;
  bool is_news;
};

TEST_CASE("the latest announcement of a limit counts") {
  const double infinite = std::numeric_limits<double>::infinity();
  const ReportCase cases[] = {
      {"news", std::nullopt, Report(3, seconds(0)), 3, true},
      {"old news of an unknown limit", std::nullopt, Report(3, seconds(60)), 3,
       true},
      {"a newer value", 5, Report(3, seconds(1)), 3, true},
      {"nearly the same value", 5, Report(5.1, seconds(1)), 5.1, false},
      {"an older value", 5, Report(3, seconds(3)), 5, false},
      {"a newer end", 5, Report(0, seconds(1)), std::nullopt, true},
      {"an older end", 5, Report(0, seconds(3)), 5, false},
      {"an end of nothing", std::nullopt, Report(0, seconds(0)), std::nullopt,
       false},
      {"an older value after the end", 0, Report(3, seconds(3)), std::nullopt,
       false},
      {"a newer value after the end", 0, Report(3, seconds(1)), 3, true},
      {"from the future", 5, Report(3, seconds(-9)), 3, true},
      {"a negative value", 5, Report(-1, seconds(0)), 5, false},
      {"an infinite value", 5, Report(infinite, seconds(0)), 5, false},
  };
  for (const ReportCase& row : cases) {
    INFO(row.what);
    LimitTable table;
    if (row.known) {
      table.Record(kEndpoint, 5, kStart - milliseconds(10));
      const bool has_ended = *row.known == 0;
      table.Record(kEndpoint, has_ended ? std::nullopt : row.known, kStart);
    }
    const core::TimePoint now = kStart + seconds(2);
    CHECK(table.Merge(row.report, now) == row.is_news);
    CHECK(table.Find(kEndpoint) == row.limit);
  }
}

TEST_CASE("an ended limit is forgotten after a while") {
  LimitTable table;
  table.Record(kEndpoint, 5, kStart);
  CHECK(table.Record(kEndpoint, std::nullopt, kStart));
  table.Expire(kStart + seconds(9));
  CHECK_FALSE(table.Merge(Report(5, seconds(10)), kStart + seconds(9)));
  table.Expire(kStart + seconds(11));
  CHECK(table.Merge(Report(5, seconds(12)), kStart + seconds(11)));
}

}  // namespace
}  // namespace wasabi::forwarding
