#include "LibRouting/least_reported_placement.h"

#include <algorithm>

#include "LibRouting/runner_order.h"

namespace wasabi::routing {

std::vector<size_t> LeastReportedPlacement::Order(
    const std::vector<RunnerView>& runners,
    const core::ChatKey& /*chat*/,
    uint64_t /*spread_key*/) {
  std::vector<size_t> order = ShuffledRunners(runners, random_);
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return runners[a].reported_requests < runners[b].reported_requests;
  });
  return order;
}

}  // namespace wasabi::routing
