// Formats the results of the benchmark as a human-readable table and as JSON.

#ifndef UTILITIES_DECISIONBENCH_REPORT_H_
#define UTILITIES_DECISIONBENCH_REPORT_H_

#include <string>
#include <vector>

#include "Utilities/DecisionBench/pool_simulation.h"
#include "Utilities/DecisionBench/state_cost.h"

namespace wasabi::bench {

// The result of one strategy at one load bound.
struct SimulationRow {
  double load_bound = 0;
  SimulationResult result;
};

// Returns a table of the simulations, followed by a table of `costs` if there
// are any.
std::string ToTable(const std::vector<SimulationRow>& rows,
                    const std::vector<StateCost>& costs);

// Returns {"options":{…},"strategies":[…],"state_costs":[…]}.
std::string ToJson(const SimulationOptions& options,
                   const std::vector<SimulationRow>& rows,
                   const std::vector<StateCost>& costs);

}  // namespace wasabi::bench

#endif  // UTILITIES_DECISIONBENCH_REPORT_H_
