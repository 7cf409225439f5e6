#include "Utilities/Load/line_chart.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "LibCore/text.h"

namespace wasabi::load {

namespace {

// Sizes in SVG user units.
constexpr double kWidth = 560;
constexpr double kHeight = 260;
constexpr double kLeft = 56;
constexpr double kRight = 12;
constexpr double kTop = 28;
constexpr double kBottom = 40;
constexpr double kPlotWidth = kWidth - kLeft - kRight;
constexpr double kPlotHeight = kHeight - kTop - kBottom;
constexpr int kTicks = 5;
constexpr double kHeadroom = 1.05;

constexpr std::array<std::string_view, 9> kColours = {
    "#1f77b4", "#ff7f0e", "#2ca02c", "#d62728", "#9467bd",
    "#8c564b", "#e377c2", "#7f7f7f", "#17becf"};

double YAxisMaximum(const LineChart& chart) {
  if (chart.y_last > 0) {
    return chart.y_last;
  }
  double maximum = 0;
  for (const ChartLine& line : chart.lines) {
    for (const double value : line.values) {
      maximum = std::max(maximum, value);
    }
  }
  return maximum > 0 ? maximum * kHeadroom : 1;
}

std::string Text(double x,
                 double y,
                 std::string_view anchor,
                 const std::string& text) {
  return fmt::format(
      "<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}</text>\n", x, y,
      anchor, EscapeHtml(text));
}

std::string Axes(const LineChart& chart, double y_last) {
  std::string svg;
  for (int i = 0; i <= kTicks; ++i) {
    const double share = static_cast<double>(i) / kTicks;
    const double y = kTop + kPlotHeight * (1 - share);
    const double x = kLeft + kPlotWidth * share;
    svg += fmt::format(
        "<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" "
        "stroke=\"#ddd\"/>\n",
        kLeft, y, kLeft + kPlotWidth, y);
    svg += Text(kLeft - 4, y + 4, "end", fmt::format("{:.3g}", y_last * share));
    const double x_value =
        chart.x_first + (chart.x_last - chart.x_first) * share;
    svg += Text(x, kTop + kPlotHeight + 14, "middle",
                fmt::format("{:.3g}", x_value));
  }
  svg += Text(kLeft + kPlotWidth / 2, kHeight - 8, "middle", chart.x_label);
  svg += Text(4, kTop - 8, "start",
              fmt::format("{} ({})", chart.title, chart.y_label));
  return svg;
}

std::string Polyline(const ChartLine& line,
                     double y_last,
                     std::string_view colour) {
  if (line.values.size() < 2) {
    return "";
  }
  std::string points;
  const double step = kPlotWidth / static_cast<double>(line.values.size() - 1);
  for (size_t i = 0; i < line.values.size(); ++i) {
    const double share = std::min(line.values[i] / y_last, 1.0);
    points +=
        fmt::format("{:.1f},{:.1f} ", kLeft + step * static_cast<double>(i),
                    kTop + kPlotHeight * (1 - share));
  }
  return fmt::format(
      "<polyline points=\"{}\" fill=\"none\" stroke=\"{}\"><title>{}</title>"
      "</polyline>\n",
      points, colour, EscapeHtml(line.name));
}

}  // namespace

std::string ToSvg(const LineChart& chart) {
  const double y_last = YAxisMaximum(chart);
  std::string svg = fmt::format(
      "<svg viewBox=\"0 0 {} {}\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n",
      kWidth, kHeight, kWidth, kHeight);
  svg += Axes(chart, y_last);
  for (size_t i = 0; i < chart.lines.size(); ++i) {
    svg += Polyline(chart.lines[i], y_last, kColours.at(i % kColours.size()));
  }
  return svg + "</svg>\n";
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

}  // namespace wasabi::load
