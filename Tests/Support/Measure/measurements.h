// The measurements of Meta/measure.sh. Each starts a fleet of its own and runs
// its baseline on the same stand-ins.

#ifndef TESTS_SUPPORT_MEASURE_MEASUREMENTS_H_
#define TESTS_SUPPORT_MEASURE_MEASUREMENTS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Tests/Support/Fleet/fleet.h"

namespace wasabi::support {

// One measured figure beside its budget.
struct Figure {
  std::string name;
  std::string unit;
  double value = 0;
  // The largest value allowed; negative for a figure without a budget.
  double budget = -1;

  bool IsWithinBudget() const { return budget < 0 || value <= budget; }
};

using Figures = std::vector<Figure>;

// Where a measurement finds its binaries.
struct MeasureContext {
  std::string binary_folder;
  std::string source_folder;
};

// Added time to the first token at 500 requests/s over eight routers, against
// direct calls to the same engines.
absl::StatusOr<Figures> MeasureAddedLatency(const MeasureContext& context);

// Processor time of one router that relays 20,000 tokens/s over 1,000 streams.
absl::StatusOr<Figures> MeasureRelay(const MeasureContext& context);

// Control traffic and processor time of a router without requests, with 4, 8,
// 16 and 32 of them, and the slope of the traffic.
absl::StatusOr<Figures> MeasureControlTraffic(const MeasureContext& context);

// The slope of the line through the points (x, y) with the least squares.
double SlopeOf(const std::vector<double>& x, const std::vector<double>& y);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_MEASURE_MEASUREMENTS_H_
