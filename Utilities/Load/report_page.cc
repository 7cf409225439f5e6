#include "Utilities/Load/report_page.h"

#include <algorithm>
#include <array>

#include "LibCore/text.h"
#include "Utilities/Load/line_chart.h"

namespace wasabi::load {

namespace {

using Series = std::vector<double>;

constexpr double kPlotHeadroom = 1.05;

// One row of the table of measurements.
struct MeasureRow {
  const char* key;
  const char* label;
};

constexpr std::array kMeasures = {
    MeasureRow{"requests", "requests"},
    MeasureRow{"whole_answers", "whole answers"},
    MeasureRow{"wrong_answers", "wrong answers"},
    MeasureRow{"lost", "lost"},
    MeasureRow{"doubled", "keys executed twice"},
    MeasureRow{"not_run_but_executed", "refused but executed"},
    MeasureRow{"refused", "refused"},
    MeasureRow{"failed_explicit", "explicit errors"},
    MeasureRow{"unknown", "unknown outcomes"},
    MeasureRow{"refused_sends", "refused sends"},
    MeasureRow{"reattachments", "reattachments"},
    MeasureRow{"cache_reuse", "reused / reusable tokens"},
    MeasureRow{"warm_turns", "returning turns that were warm"},
    MeasureRow{"skew_max_over_mean", "most loaded engine / mean, p99"},
    MeasureRow{"first_token_ms_p50", "first token p50, ms"},
    MeasureRow{"first_token_ms_p95", "first token p95, ms"},
    MeasureRow{"first_token_ms_p99", "first token p99, ms"},
    MeasureRow{"control_bytes_per_second_per_router_max",
               "maximum control bytes/s of a router"},
};

// One plot of the page: the JSON key of its series and its labels.
struct PlotSpec {
  const char* key;
  const char* title;
  const char* y_label;
  // True if the x axis shows percentiles instead of seconds.
  bool is_distribution;
};

constexpr std::array kPlots = {
    PlotSpec{"engine_requests", "Requests in each engine", "requests", false},
    PlotSpec{"skew", "Most loaded engine / mean", "ratio", false},
    PlotSpec{"whole_answers", "Whole answers", "per interval", false},
    PlotSpec{"refused_sends", "Refused sends", "per interval", false},
    PlotSpec{"first_token_ms", "First token", "ms", true},
};

nlohmann::json MemberOf(const nlohmann::json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() ? nlohmann::json() : *it;
}

Series ToSeries(const nlohmann::json& json) {
  Series series;
  if (!json.is_array()) {
    return series;
  }
  for (const nlohmann::json& it : json) {
    series.push_back(it.is_number() ? it.get<double>() : 0);
  }
  return series;
}

// Returns the lines of a plot: one line for an array, or one line for each
// member of an object.
std::vector<ChartLine> LinesOf(const nlohmann::json& result,
                               const PlotSpec& plot) {
  const nlohmann::json json = MemberOf(MemberOf(result, "series"), plot.key);
  std::vector<ChartLine> lines;
  if (!json.is_object()) {
    lines.push_back({plot.title, ToSeries(json)});
    return lines;
  }
  for (const auto& [name, values] : json.items()) {
    lines.push_back({name, ToSeries(values)});
  }
  return lines;
}

double Maximum(const std::vector<ChartLine>& lines) {
  double maximum = 0;
  for (const ChartLine& line : lines) {
    for (const double value : line.values) {
      maximum = std::max(maximum, value);
    }
  }
  return maximum;
}

double LengthInSeconds(const nlohmann::json& result,
                       const std::vector<ChartLine>& lines) {
  const nlohmann::json interval =
      MemberOf(MemberOf(result, "series"), "interval_ms");
  const double interval_ms = interval.is_number() ? interval.get<double>() : 0;
  const size_t points = lines.empty() ? 0 : lines.front().values.size();
  return points < 2 ? 1 : interval_ms * static_cast<double>(points - 1) / 1e3;
}

std::string MeasureTable(const std::vector<NamedResult>& results) {
  std::string html = "<table><tr><th></th>";
  for (const NamedResult& it : results) {
    html += fmt::format("<th>{}</th>", EscapeHtml(it.name));
  }
  html += "</tr>\n";
  for (const MeasureRow& row : kMeasures) {
    html += fmt::format("<tr><td>{}</td>", row.label);
    for (const NamedResult& it : results) {
      const nlohmann::json value = MemberOf(it.result, row.key);
      const std::string text =
          value.is_number_float()
              ? fmt::format("{:.4g}", value.get<double>())
              : (value.is_number() ? value.dump() : std::string("–"));
      html += fmt::format("<td class=\"n\">{}</td>", text);
    }
    html += "</tr>\n";
  }
  return html + "</table>\n";
}

std::string PlotRow(const std::vector<NamedResult>& results,
                    const PlotSpec& plot) {
  double y_last = 0;
  for (const NamedResult& it : results) {
    y_last = std::max(y_last, Maximum(LinesOf(it.result, plot)));
  }
  std::string html = "<div class=\"row\">\n";
  for (const NamedResult& it : results) {
    LineChart chart;
    chart.title = fmt::format("{}: {}", it.name, plot.title);
    chart.y_label = plot.y_label;
    chart.x_label = plot.is_distribution ? "percentile" : "seconds";
    chart.lines = LinesOf(it.result, plot);
    chart.x_last =
        plot.is_distribution ? 100 : LengthInSeconds(it.result, chart.lines);
    chart.y_last = y_last * kPlotHeadroom;
    html += ToSvg(chart);
  }
  return html + "</div>\n";
}

}  // namespace

std::string MakeReportPage(const std::vector<NamedResult>& results) {
  std::string html =
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>wasabi_load</title><style>body{font-family:sans-serif}"
      "td,th{padding:2px 10px;text-align:left}td.n{text-align:right}"
      ".row{display:flex;flex-wrap:wrap}</style></head><body>\n"
      "<h1>wasabi_load</h1>\n";
  html += MeasureTable(results);
  for (const PlotSpec& plot : kPlots) {
    html += PlotRow(results, plot);
  }
  return html + "</body></html>\n";
}

}  // namespace wasabi::load
