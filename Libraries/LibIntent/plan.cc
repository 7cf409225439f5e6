#include "LibIntent/plan.h"

#include <utility>

#include "LibIntent/configuration_json.h"

namespace wasabi::intent {

ChangeRecord Plan::ToRecord(const RecordStamp& stamp) const {
  return {stamp, id, operator_name, base, changes};
}

nlohmann::json PlanToJson(const Plan& plan) {
  nlohmann::json changes = nlohmann::json::array();
  for (const Change& change : plan.changes) {
    changes.push_back(ChangeToJson(change));
  }
  return {{"plan", plan.id},           {"operator", plan.operator_name},
          {"revision", plan.revision}, {"changes", std::move(changes)},
          {"words", plan.words},       {"effects", plan.effects}};
}

}  // namespace wasabi::intent
