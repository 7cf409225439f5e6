#include "Utilities/Load/report_page.h"

#include <catch2/catch.hpp>
#include <string>

#include "Utilities/Load/line_chart.h"

namespace wasabi::load {
namespace {

using Catch::Matchers::Contains;

nlohmann::json MakeResult(double reuse) {
  return {{"cache_reuse", reuse},
          {"lost", 0},
          {"series",
           {{"interval_ms", 500},
            {"engine_requests", {{"engine-1", {1, 2}}, {"engine-2", {0, 4}}}},
            {"skew", {1.0, 1.5}}}}};
}

TEST_CASE("a page has a column for each result") {
  const std::string page =
      MakeReportPage({{"a<b", MakeResult(0.5)}, {"second", MakeResult(0.25)}});
  CHECK_THAT(page, Contains("<th>a&lt;b</th><th>second</th>"));
  CHECK_THAT(page, Contains("<td class=\"n\">0.5</td><td class=\"n\">0.25"));
  CHECK_THAT(page, Contains("<title>engine-2</title>"));
}

TEST_CASE("a result without a series produces a page without charts") {
  const std::string page =
      MakeReportPage({{"empty", nlohmann::json::object()}});
  CHECK_THAT(page, Contains("</html>"));
  CHECK_THAT(page, !Contains("<polyline"));
}

TEST_CASE("the points of a line are scaled to the chart area") {
  LineChart chart;
  chart.y_last = 2;
  chart.lines = {{"line", {0, 1, 2}}};
  CHECK_THAT(ToSvg(chart),
             Contains("points=\"56.0,220.0 302.0,124.0 548.0,28.0 \""));
}

}  // namespace
}  // namespace wasabi::load
