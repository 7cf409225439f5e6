#include "LibRouting/bounded_hash_placement.h"

#include <algorithm>
#include <cmath>

#include "LibRouting/runner_order.h"

namespace wasabi::routing {

namespace {

// Returns the mean number of reported requests over the runners in `order`.
double MeanReported(const std::vector<RunnerView>& runners,
                    const std::vector<size_t>& order) {
  double sum = 0;
  for (const size_t i : order) {
    sum += runners[i].reported_requests;
  }
  return order.empty() ? 0 : sum / static_cast<double>(order.size());
}

}  // namespace

std::vector<size_t> BoundedHashPlacement::Order(
    const std::vector<RunnerView>& runners,
    const core::ChatKey& chat,
    uint64_t spread_key) {
  std::vector<size_t> order =
      HashOrder(runners, PlacementKey(chat, spread_key));
  const double cap =
      std::max(1.0, std::ceil(load_bound_ * MeanReported(runners, order)));
  std::stable_partition(order.begin(), order.end(), [&](size_t i) {
    return runners[i].reported_requests < cap;
  });
  return order;
}

}  // namespace wasabi::routing
