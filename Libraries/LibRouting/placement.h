// Placement strategies determine the order in which a request tries the runners
// of a pool.

#ifndef LIBROUTING_PLACEMENT_H_
#define LIBROUTING_PLACEMENT_H_

#include <memory>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/random_source.h"
#include "absl/status/statusor.h"

namespace wasabi::routing {

// The properties of a runner that placement strategies use.
struct RunnerView {
  core::RunnerId id;
  // Relative weight in the distribution of chats: below 1 during slow start, 0
  // if the runner takes no work.
  double weight = 1.0;
  // Number of requests in the runner's latest load report, which may be stale.
  uint32_t reported_requests = 0;
};

// Interface of the placement strategies.
class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;

  // Returns indices into `runners` in preference order, first choice first.
  // Runners with a weight of 0 are omitted. If `chat` is empty, strategies that
  // hash the chat use `spread_key` instead.
  virtual std::vector<size_t> Order(const std::vector<RunnerView>& runners,
                                    const core::ChatKey& chat,
                                    uint64_t spread_key) = 0;

  // Returns true if the owner of each runner enforces the load bound. This is
  // false for the baseline strategies.
  virtual bool IsBoundEnforcedByOwner() const = 0;
};

// Creates the strategy with the given name, see intent::ModelPool::strategy.
// Returns ResultCode::kInvalidIntent if the name is unknown. `load_bound` and
// `seed` are ignored by strategies that do not need them.
absl::StatusOr<std::unique_ptr<PlacementStrategy>>
MakePlacementStrategy(std::string_view name, double load_bound, uint64_t seed);

}  // namespace wasabi::routing

#endif  // LIBROUTING_PLACEMENT_H_
