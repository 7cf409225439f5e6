// The bench's results as a table for people and as JSON.

#ifndef UTILITIES_DECISIONBENCH_REPORT_H_
#define UTILITIES_DECISIONBENCH_REPORT_H_

#include <string>
#include <vector>

#include "Utilities/DecisionBench/pool_simulation.h"
#include "Utilities/DecisionBench/state_cost.h"

namespace wasabi::bench {

// One row per strategy and bound.
struct SimulationRow {
  double load_bound = 0;
  SimulationResult result;
};

std::string ToTable(const std::vector<SimulationRow>& rows,
                    const std::vector<StateCost>& costs);

// {"options":{…},"strategies":[…],"state_costs":[…]}.
std::string ToJson(const SimulationOptions& options,
                   const std::vector<SimulationRow>& rows,
                   const std::vector<StateCost>& costs);

}  // namespace wasabi::bench

#endif  // UTILITIES_DECISIONBENCH_REPORT_H_
