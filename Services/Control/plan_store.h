// Stores the latest plans that this daemon made. An expired plan can no longer
// be confirmed.

#ifndef SERVICES_CONTROL_PLAN_STORE_H_
#define SERVICES_CONTROL_PLAN_STORE_H_

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "LibCore/time.h"
#include "LibIntent/plan.h"
#include "absl/status/statusor.h"

namespace wasabi::control {

using PlanView = std::shared_ptr<const intent::Plan>;

class PlanStore {
 public:
  // A plan expires `lifetime` after it was added. At most `capacity` plans are
  // stored; the oldest is evicted first.
  PlanStore(core::Duration lifetime, size_t capacity);

  void Add(core::TimePoint now, intent::Plan plan);

  // Returns the plan with this id. Errors: kUnknownPlan if it was never added
  // or was evicted, kPlanExpired if its lifetime has passed.
  absl::StatusOr<PlanView> Find(core::TimePoint now,
                                const std::string& id) const;

 private:
  struct Entry {
    PlanView plan;
    core::TimePoint made_at;
  };

  const core::Duration lifetime_;
  const size_t capacity_;
  std::map<std::string, Entry> entries_;
  // Plan ids in the order of insertion, for eviction.
  std::deque<std::string> order_;
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_PLAN_STORE_H_
