// Plans: the configuration changes that confirming an intent would make, and
// their expected effects.

#ifndef LIBINTENT_PLAN_H_
#define LIBINTENT_PLAN_H_

#include <compare>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LibIntent/configuration_item.h"
#include "LibIntent/configuration_record.h"

namespace wasabi::intent {

// Immutable after creation. The configuration changes only when the plan is
// confirmed.
struct Plan {
  std::string id;
  std::string operator_name;
  // The configuration revision that the plan is based on.
  int64_t revision = -1;
  // The revision of every item that the intent sets or removes, including items
  // that already have the requested value.
  std::map<ItemKey, int64_t> base;
  std::vector<Change> changes;
  // Human-readable descriptions of the changes, one per line.
  std::vector<std::string> words;
  // Human-readable expected effects on load and caches, one per line.
  std::vector<std::string> effects;

  auto operator<=>(const Plan&) const = default;

  // Returns the record that confirms the plan.
  ChangeRecord ToRecord(const RecordStamp& stamp) const;
};

// Converts the plan to JSON for operators.
nlohmann::json PlanToJson(const Plan& plan);

}  // namespace wasabi::intent

#endif  // LIBINTENT_PLAN_H_
