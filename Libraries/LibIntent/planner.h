// Creates plans by comparing an intent with the current configuration.

#ifndef LIBINTENT_PLANNER_H_
#define LIBINTENT_PLANNER_H_

#include <string>

#include "LibIntent/configuration_fold.h"
#include "LibIntent/intent.h"
#include "LibIntent/plan.h"
#include "LibIntent/pool_members.h"
#include "absl/status/statusor.h"

namespace wasabi::intent {

// The intent to plan, the operator who requests it and the id of the new plan.
struct PlanRequest {
  std::string plan_id;
  std::string operator_name;
  Intent intent;
};

// Creates the plan for `request` on the state in `fold`. Fails with
// ResultCode::kInvalidIntent if the intent refers to something that does not
// exist or contradicts the rest of the configuration. If the configuration
// already matches the intent, the plan has no changes.
absl::StatusOr<Plan> MakePlan(const PlanRequest& request,
                              const ConfigurationFold& fold,
                              const PoolMembers& pools);

}  // namespace wasabi::intent

#endif  // LIBINTENT_PLANNER_H_
