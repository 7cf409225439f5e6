// Renders line charts as SVG.

#ifndef UTILITIES_LOAD_LINE_CHART_H_
#define UTILITIES_LOAD_LINE_CHART_H_

#include <string>
#include <vector>

namespace wasabi::load {

// One line of a chart. Its values are equally spaced along the x axis.
struct ChartLine {
  std::string name;
  std::vector<double> values;
};

struct LineChart {
  std::string title;
  // Labels of the axes, usually their units.
  std::string x_label;
  std::string y_label;
  // The x values of the first and the last point.
  double x_first = 0;
  double x_last = 1;
  // Upper end of the y axis; 0 derives it from the largest value.
  double y_last = 0;
  std::vector<ChartLine> lines;
};

// Returns the chart as an <svg> element.
std::string ToSvg(const LineChart& chart);

// Returns `text` with HTML special characters escaped.
std::string EscapeHtml(const std::string& text);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_LINE_CHART_H_
