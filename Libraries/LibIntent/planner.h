// Makes plans: compares an intent with the configuration in force.

#ifndef LIBINTENT_PLANNER_H_
#define LIBINTENT_PLANNER_H_

#include <string>

#include "LibIntent/configuration_fold.h"
#include "LibIntent/intent.h"
#include "LibIntent/plan.h"
#include "LibIntent/pool_members.h"
#include "absl/status/statusor.h"

namespace wasabi::intent {

// Who plans, and under which id.
struct PlanRequest {
  std::string plan_id;
  std::string operator_name;
  Intent intent;
};

// The plan for `request` on the state in `fold`. ResultCode::kInvalidIntent
// where the intent names something that does not exist or contradicts the
// rest of the configuration. A plan without changes means that all is as the
// intent states.
absl::StatusOr<Plan> MakePlan(const PlanRequest& request,
                              const ConfigurationFold& fold,
                              const PoolMembers& pools);

}  // namespace wasabi::intent

#endif  // LIBINTENT_PLANNER_H_
