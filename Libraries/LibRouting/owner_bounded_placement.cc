#include "LibRouting/owner_bounded_placement.h"

#include "LibRouting/runner_order.h"

namespace wasabi::routing {

std::vector<size_t> OwnerBoundedPlacement::Order(
    const std::vector<RunnerView>& runners,
    const core::ChatKey& chat,
    uint64_t spread_key) {
  return HashOrder(runners, PlacementKey(chat, spread_key));
}

}  // namespace wasabi::routing
