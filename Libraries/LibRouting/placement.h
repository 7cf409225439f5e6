// Placement strategies: in which order the runners of a pool are tried.

#ifndef LIBROUTING_PLACEMENT_H_
#define LIBROUTING_PLACEMENT_H_

#include <memory>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/random_source.h"
#include "absl/status/statusor.h"

namespace wasabi::routing {

// A runner as placement sees it.
struct RunnerView {
  core::RunnerId id;
  // Share of the chats; below 1 during slow start, 0 takes nothing.
  double weight = 1.0;
  // The runner's own, lagging report of its requests.
  uint32_t reported_requests = 0;
};

class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;

  // Indices into `runners` from the first choice on; runners that take nothing
  // are left out. A request without a chat is spread by its `spread_key`.
  virtual std::vector<size_t> Order(const std::vector<RunnerView>& runners,
                                    const core::ChatKey& chat,
                                    uint64_t spread_key) = 0;

  // True where the owner of a runner applies the load bound (the fleet's own
  // rule); the baselines are not bound by owners.
  virtual bool UsesOwnerBound() const = 0;
};

// The strategy `name`, see intent::ModelPool::strategy; kInvalidIntent for an
// unknown name.
absl::StatusOr<std::unique_ptr<PlacementStrategy>>
MakePlacementStrategy(std::string_view name, double load_bound, uint64_t seed);

}  // namespace wasabi::routing

#endif  // LIBROUTING_PLACEMENT_H_
