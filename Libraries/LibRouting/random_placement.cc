#include "LibRouting/random_placement.h"

#include <utility>

#include "LibRouting/hash_order.h"

namespace wasabi::routing {

std::vector<size_t> RandomPlacement::Order(
    const std::vector<RunnerView>& runners,
    const core::ChatKey& /*chat*/,
    uint64_t /*spread_key*/) {
  std::vector<size_t> order = AvailableRunners(runners);
  for (size_t i = order.size(); i > 1; --i) {
    std::swap(order[i - 1], order[random_.Below(i)]);
  }
  return order;
}

}  // namespace wasabi::routing
