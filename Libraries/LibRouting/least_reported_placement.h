// Baseline strategy: prefers the runner that reported the fewest requests, and
// ignores the chat.

#ifndef LIBROUTING_LEAST_REPORTED_PLACEMENT_H_
#define LIBROUTING_LEAST_REPORTED_PLACEMENT_H_

#include <vector>

#include "LibCore/random_source.h"
#include "LibRouting/placement.h"

namespace wasabi::routing {

class LeastReportedPlacement final : public PlacementStrategy {
 public:
  explicit LeastReportedPlacement(uint64_t seed) : random_(seed) {}

  std::vector<size_t> Order(const std::vector<RunnerView>& runners,
                            const core::ChatKey& chat,
                            uint64_t spread_key) override;
  bool IsBoundEnforcedByOwner() const override { return false; }

 private:
  // Breaks ties randomly, so that routers with identical reports do not all
  // choose the same runner.
  core::RandomSource random_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_LEAST_REPORTED_PLACEMENT_H_
