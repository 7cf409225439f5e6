// Baseline strategy: chooses the runner by the chat's hash modulo the number of
// available runners, and ignores load.

#ifndef LIBROUTING_PLAIN_HASH_PLACEMENT_H_
#define LIBROUTING_PLAIN_HASH_PLACEMENT_H_

#include <vector>

#include "LibRouting/placement.h"

namespace wasabi::routing {

class PlainHashPlacement final : public PlacementStrategy {
 public:
  PlainHashPlacement() = default;

  std::vector<size_t> Order(const std::vector<RunnerView>& runners,
                            const core::ChatKey& chat,
                            uint64_t spread_key) override;
  bool IsBoundEnforcedByOwner() const override { return false; }
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_PLAIN_HASH_PLACEMENT_H_
