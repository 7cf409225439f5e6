#include "LibRouting/random_placement.h"

#include "LibRouting/runner_order.h"

namespace wasabi::routing {

std::vector<size_t> RandomPlacement::Order(
    const std::vector<RunnerView>& runners,
    const core::ChatKey& /*chat*/,
    uint64_t /*spread_key*/) {
  return ShuffledRunners(runners, random_);
}

}  // namespace wasabi::routing
