// The fleet's own rule: weighted rendezvous hashing, where the owners of the
// runners apply the load bound.

#ifndef LIBROUTING_OWNERS_PLACEMENT_H_
#define LIBROUTING_OWNERS_PLACEMENT_H_

#include <vector>

#include "LibRouting/placement.h"

namespace wasabi::routing {

class OwnersPlacement final : public PlacementStrategy {
 public:
  OwnersPlacement() = default;

  std::vector<size_t> Order(const std::vector<RunnerView>& runners,
                            const core::ChatKey& chat,
                            uint64_t spread_key) override;
  bool UsesOwnerBound() const override { return true; }
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_OWNERS_PLACEMENT_H_
