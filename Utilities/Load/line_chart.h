// A line chart as SVG.

#ifndef UTILITIES_LOAD_LINE_CHART_H_
#define UTILITIES_LOAD_LINE_CHART_H_

#include <string>
#include <vector>

namespace wasabi::load {

// One line: its values stand at equal distances along the x axis.
struct ChartLine {
  std::string name;
  std::vector<double> values;
};

struct LineChart {
  std::string title;
  // Units of the axes.
  std::string x_label;
  std::string y_label;
  // The x values of the first and of the last point.
  double x_first = 0;
  double x_last = 1;
  // The upper end of the y axis; 0 takes the largest value.
  double y_last = 0;
  std::vector<ChartLine> lines;
};

// The chart as an <svg> element.
std::string ToSvg(const LineChart& chart);

// `text` with the characters escaped that HTML gives a meaning.
std::string EscapeHtml(const std::string& text);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_LINE_CHART_H_
