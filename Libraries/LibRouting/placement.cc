#include "LibRouting/placement.h"

#include <array>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibRouting/bounded_hash_placement.h"
#include "LibRouting/least_reported_placement.h"
#include "LibRouting/owner_bounded_placement.h"
#include "LibRouting/plain_hash_placement.h"
#include "LibRouting/random_placement.h"

namespace wasabi::routing {

namespace {

using Factory = std::unique_ptr<PlacementStrategy> (*)(double load_bound,
                                                       uint64_t seed);

struct StrategyEntry {
  std::string_view name;
  Factory make;
};

constexpr std::array<StrategyEntry, 5> kStrategies = {{
    {"owners",
     [](double, uint64_t) -> std::unique_ptr<PlacementStrategy> {
       return std::make_unique<OwnerBoundedPlacement>();
     }},
    {"random",
     [](double, uint64_t seed) -> std::unique_ptr<PlacementStrategy> {
       return std::make_unique<RandomPlacement>(seed);
     }},
    {"least_reported",
     [](double, uint64_t seed) -> std::unique_ptr<PlacementStrategy> {
       return std::make_unique<LeastReportedPlacement>(seed);
     }},
    {"plain_hash",
     [](double, uint64_t) -> std::unique_ptr<PlacementStrategy> {
       return std::make_unique<PlainHashPlacement>();
     }},
    {"bounded_hash",
     [](double bound, uint64_t) -> std::unique_ptr<PlacementStrategy> {
       return std::make_unique<BoundedHashPlacement>(bound);
     }},
}};

}  // namespace

absl::StatusOr<std::unique_ptr<PlacementStrategy>>
MakePlacementStrategy(std::string_view name, double load_bound, uint64_t seed) {
  for (const StrategyEntry& it : kStrategies) {
    if (it.name == name) {
      return it.make(load_bound, seed);
    }
  }
  return core::MakeStatus(core::ResultCode::kInvalidIntent,
                          fmt::format("unknown placement strategy {}", name));
}

}  // namespace wasabi::routing
