// Estimates the effects of configuration changes on load and caches.

#ifndef LIBINTENT_PLAN_EFFECTS_H_
#define LIBINTENT_PLAN_EFFECTS_H_

#include <string>
#include <vector>

#include "LibIntent/configuration.h"
#include "LibIntent/configuration_item.h"
#include "LibIntent/pool_members.h"

namespace wasabi::intent {

// Returns one sentence for each expected effect of applying `changes` to
// `configuration`. Shares are estimated on the assumption that chats are
// distributed evenly over the endpoints of a pool.
std::vector<std::string> EstimateEffects(const std::vector<Change>& changes,
                                         const Configuration& configuration,
                                         const PoolMembers& pools);

}  // namespace wasabi::intent

#endif  // LIBINTENT_PLAN_EFFECTS_H_
