// The default placement strategy: weighted rendezvous hashing, with the load
// bound enforced by the owner of each runner.

#ifndef LIBROUTING_OWNER_BOUNDED_PLACEMENT_H_
#define LIBROUTING_OWNER_BOUNDED_PLACEMENT_H_

#include <vector>

#include "LibRouting/placement.h"

namespace wasabi::routing {

class OwnerBoundedPlacement final : public PlacementStrategy {
 public:
  OwnerBoundedPlacement() = default;

  std::vector<size_t> Order(const std::vector<RunnerView>& runners,
                            const core::ChatKey& chat,
                            uint64_t spread_key) override;
  bool IsBoundEnforcedByOwner() const override { return true; }
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_OWNER_BOUNDED_PLACEMENT_H_
