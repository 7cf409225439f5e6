// The plans that this daemon made and that can be confirmed.

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
  // Plans can be confirmed for `lifetime`; the latest `capacity` are kept.
  PlanStore(core::Duration lifetime, size_t capacity);

  void Add(core::TimePoint now, intent::Plan plan);

  // The plan `id`; kUnknownPlan where there is none, kPlanExpired where it is
  // too old.
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
  std::deque<std::string> order_;
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_PLAN_STORE_H_
