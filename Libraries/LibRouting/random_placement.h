// Baseline strategy: a random order that ignores chat and load.

#ifndef LIBROUTING_RANDOM_PLACEMENT_H_
#define LIBROUTING_RANDOM_PLACEMENT_H_

#include <vector>

#include "LibCore/random_source.h"
#include "LibRouting/placement.h"

namespace wasabi::routing {

class RandomPlacement final : public PlacementStrategy {
 public:
  explicit RandomPlacement(uint64_t seed) : random_(seed) {}

  std::vector<size_t> Order(const std::vector<RunnerView>& runners,
                            const core::ChatKey& chat,
                            uint64_t spread_key) override;
  bool IsBoundEnforcedByOwner() const override { return false; }

 private:
  core::RandomSource random_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_RANDOM_PLACEMENT_H_
