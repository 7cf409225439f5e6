#include "LibRouting/least_reported_placement.h"

#include <algorithm>
#include <utility>

#include "LibRouting/hash_order.h"

namespace wasabi::routing {

std::vector<size_t> LeastReportedPlacement::Order(
    const std::vector<RunnerView>& runners,
    const core::ChatKey& /*chat*/,
    uint64_t /*spread_key*/) {
  std::vector<size_t> order = AvailableRunners(runners);
  for (size_t i = order.size(); i > 1; --i) {
    std::swap(order[i - 1], order[random_.Below(i)]);
  }
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return runners[a].reported_requests < runners[b].reported_requests;
  });
  return order;
}

}  // namespace wasabi::routing
