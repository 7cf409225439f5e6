// Baseline strategy: rendezvous hashing with a load bound that each router
// enforces independently, based on the stale load reports of the runners.

#ifndef LIBROUTING_BOUNDED_HASH_PLACEMENT_H_
#define LIBROUTING_BOUNDED_HASH_PLACEMENT_H_

#include <vector>

#include "LibRouting/placement.h"

namespace wasabi::routing {

// Moves runners that reported ceil(`load_bound` × mean) or more requests to the
// end of the preference order.
class BoundedHashPlacement final : public PlacementStrategy {
 public:
  explicit BoundedHashPlacement(double load_bound) : load_bound_(load_bound) {}

  std::vector<size_t> Order(const std::vector<RunnerView>& runners,
                            const core::ChatKey& chat,
                            uint64_t spread_key) override;
  bool IsBoundEnforcedByOwner() const override { return false; }

 private:
  double load_bound_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_BOUNDED_HASH_PLACEMENT_H_
