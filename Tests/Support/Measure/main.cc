// wasabi_measure runs the measurements of Meta/measure.sh and writes the
// figures as a table and as JSON.

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <string>

#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/Measure/measurements.h"

DEFINE_string(binaries, "build/bin", "folder of the binaries");
DEFINE_string(sources, ".", "root folder of the sources");
DEFINE_string(only,
              "",
              "measurements to run, separated by commas; all if empty");
DEFINE_string(json, "", "file to write the figures to as JSON");

namespace wasabi::support {
namespace {

struct Measurement {
  std::string_view name;
  absl::StatusOr<Figures> (*measure)(const MeasureContext& context);
};

constexpr std::array kMeasurements = {
    Measurement{"latency", &MeasureAddedLatency},
    Measurement{"relay", &MeasureRelay},
    Measurement{"control", &MeasureControlTraffic},
};

bool IsWanted(std::string_view name) {
  const std::vector<std::string> wanted = core::SplitList(FLAGS_only);
  return wanted.empty() ||
         std::find(wanted.begin(), wanted.end(), name) != wanted.end();
}

void Print(const Figure& figure) {
  const std::string budget =
      figure.budget < 0 ? "" : fmt::format("{:g}", figure.budget);
  std::cout << fmt::format("{:<44} {:>12.3f} {:<20} {:>8} {}", figure.name,
                           figure.value, figure.unit, budget,
                           figure.IsWithinBudget() ? "" : "MISSED")
            << std::endl;
}

// Runs the selected measurements. Returns whether all succeeded and all figures
// are within their budgets.
bool Run() {
  const MeasureContext context{FLAGS_binaries, FLAGS_sources};
  nlohmann::json all = nlohmann::json::array();
  bool is_good = true;
  std::cout << fmt::format("{:<44} {:>12} {:<20} {:>8}", "figure", "value",
                           "unit", "budget")
            << std::endl;
  for (const Measurement& it : kMeasurements) {
    if (!IsWanted(it.name)) {
      continue;
    }
    const absl::StatusOr<Figures> figures = it.measure(context);
    if (!figures.ok()) {
      std::cout << it.name << ": " << core::MessageOf(figures.status())
                << std::endl;
      is_good = false;
      continue;
    }
    for (const Figure& figure : *figures) {
      Print(figure);
      is_good &= figure.IsWithinBudget();
      all.push_back({{"name", figure.name},
                     {"unit", figure.unit},
                     {"value", figure.value},
                     {"budget", figure.budget}});
    }
  }
  if (!FLAGS_json.empty()) {
    std::ofstream(FLAGS_json) << all.dump(1) << "\n";
  }
  return is_good;
}

}  // namespace
}  // namespace wasabi::support

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures added latency, relaying and control traffic on fleets of real "
      "processes.\n"
      "Exit code 0 means that every figure is within its budget.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return wasabi::support::Run() ? 0 : 1;
}
