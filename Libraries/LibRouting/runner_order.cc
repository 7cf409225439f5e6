#include "LibRouting/runner_order.h"

#include <utility>

#include "LibCore/rendezvous.h"

namespace wasabi::routing {

uint64_t PlacementKey(const core::ChatKey& chat, uint64_t spread_key) {
  return chat.empty() ? spread_key : chat.Hash();
}

std::vector<size_t> HashOrder(const std::vector<RunnerView>& runners,
                              uint64_t key) {
  std::vector<core::RendezvousCandidate> candidates;
  candidates.reserve(runners.size());
  for (const RunnerView& it : runners) {
    candidates.push_back({it.id.Hash(), it.weight});
  }
  return core::RendezvousOrder(key, candidates);
}

std::vector<size_t> AvailableRunners(const std::vector<RunnerView>& runners) {
  std::vector<size_t> available;
  available.reserve(runners.size());
  for (size_t i = 0; i < runners.size(); ++i) {
    if (runners[i].weight > 0) {
      available.push_back(i);
    }
  }
  return available;
}

std::vector<size_t> ShuffledRunners(const std::vector<RunnerView>& runners,
                                    core::RandomSource& random) {
  std::vector<size_t> order = AvailableRunners(runners);
  for (size_t i = order.size(); i > 1; --i) {
    std::swap(order[i - 1], order[random.Below(i)]);
  }
  return order;
}

}  // namespace wasabi::routing
