// One HTML page with the measures and plots of one or several runs, side by
// side.

#ifndef UTILITIES_LOAD_REPORT_PAGE_H_
#define UTILITIES_LOAD_REPORT_PAGE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace wasabi::load {

// A result file of wasabi_load --result, and the name of its column.
struct NamedResult {
  std::string name;
  nlohmann::json result;
};

// The page. The same plot has the same scale in all columns.
std::string MakeReportPage(const std::vector<NamedResult>& results);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_REPORT_PAGE_H_
