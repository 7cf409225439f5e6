// The measurements of Meta/measure.sh. Each measurement starts its own fleet
// and runs its baseline on the same stand-ins.

#ifndef TESTS_SUPPORT_MEASURE_MEASUREMENTS_H_
#define TESTS_SUPPORT_MEASURE_MEASUREMENTS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Tests/Support/Fleet/fleet.h"

namespace wasabi::support {

// A measured value and its budget.
struct Figure {
  std::string name;
  std::string unit;
  double value = 0;
  // The maximum allowed value. Negative if the figure has no budget.
  double budget = -1;

  bool IsWithinBudget() const { return budget < 0 || value <= budget; }
};

using Figures = std::vector<Figure>;

// The folder of the binaries and the root folder of the sources.
struct MeasureContext {
  std::string binary_folder;
  std::string source_folder;
};

// Measures the latency to the first token that eight routers add at 500
// requests/s, compared with direct calls to the same engines.
absl::StatusOr<Figures> MeasureAddedLatency(const MeasureContext& context);

// Measures the CPU usage of one router that relays 20,000 tokens/s over 1,000
// streams.
absl::StatusOr<Figures> MeasureRelay(const MeasureContext& context);

// Measures the control traffic and CPU usage of an idle router in fleets of 4,
// 8, 16 and 32 routers, and the slope of the traffic over the number of
// routers.
absl::StatusOr<Figures> MeasureControlTraffic(const MeasureContext& context);

// Returns the slope of the least-squares line through the points (x, y), or 0
// if all values of x are equal.
double LeastSquaresSlope(const std::vector<double>& x,
                         const std::vector<double>& y);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_MEASURE_MEASUREMENTS_H_
