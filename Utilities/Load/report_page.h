// Renders an HTML page with the measurements and plots of one or several runs,
// side by side.

#ifndef UTILITIES_LOAD_REPORT_PAGE_H_
#define UTILITIES_LOAD_REPORT_PAGE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace wasabi::load {

// The parsed result file of wasabi_load --result and the heading of its column.
struct NamedResult {
  std::string name;
  nlohmann::json result;
};

// Returns the page. Each plot has the same y scale in all columns.
std::string MakeReportPage(const std::vector<NamedResult>& results);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_REPORT_PAGE_H_
