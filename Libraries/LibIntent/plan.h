// What confirming an intent would change, and what it is expected to do.

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

// Immutable once made; nothing changes until it is confirmed.
struct Plan {
  std::string id;
  std::string operator_name;
  // The configuration revision that the plan was made on.
  int64_t revision = -1;
  // The revision of every item that the intent states.
  std::map<ItemKey, int64_t> base;
  std::vector<Change> changes;
  // The changes in words, one a line.
  std::vector<std::string> words;
  // The expected effects on load and caches in words, one a line.
  std::vector<std::string> effects;

  auto operator<=>(const Plan&) const = default;

  // The record that confirms the plan.
  ChangeRecord ToRecord(const RecordStamp& stamp) const;
};

// The plan as JSON for operators.
nlohmann::json PlanToJson(const Plan& plan);

}  // namespace wasabi::intent

#endif  // LIBINTENT_PLAN_H_
