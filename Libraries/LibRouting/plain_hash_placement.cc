#include "LibRouting/plain_hash_placement.h"

#include <algorithm>

#include "LibRouting/runner_order.h"

namespace wasabi::routing {

std::vector<size_t> PlainHashPlacement::Order(
    const std::vector<RunnerView>& runners,
    const core::ChatKey& chat,
    uint64_t spread_key) {
  std::vector<size_t> order = AvailableRunners(runners);
  if (order.empty()) {
    return order;
  }
  const size_t first = PlacementKey(chat, spread_key) % order.size();
  std::rotate(order.begin(), order.begin() + static_cast<ptrdiff_t>(first),
              order.end());
  return order;
}

}  // namespace wasabi::routing
