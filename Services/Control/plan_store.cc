#include "Services/Control/plan_store.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::control {

PlanStore::PlanStore(core::Duration lifetime, size_t capacity)
    : lifetime_(lifetime), capacity_(capacity) {}

void PlanStore::Add(core::TimePoint now, intent::Plan plan) {
  const std::string id = plan.id;
  entries_[id] = {std::make_shared<const intent::Plan>(std::move(plan)), now};
  order_.push_back(id);
  if (order_.size() > capacity_) {
    entries_.erase(order_.front());
    order_.pop_front();
  }
}

absl::StatusOr<PlanView> PlanStore::Find(core::TimePoint now,
                                         const std::string& id) const {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return core::MakeStatus(
        core::ResultCode::kUnknownPlan,
        fmt::format("plan {} does not exist on this host", id));
  }
  if (now - it->second.made_at > lifetime_) {
    return core::MakeStatus(
        core::ResultCode::kPlanExpired,
        fmt::format("plan {} has expired; it is older than {} s", id,
                    core::ToMilliseconds(lifetime_) / 1000));
  }
  return it->second.plan;
}

}  // namespace wasabi::control
