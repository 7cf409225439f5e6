// The verdict on a result of wasabi_load.

#ifndef TESTS_SUPPORT_SCENARIO_LOAD_VERDICT_H_
#define TESTS_SUPPORT_SCENARIO_LOAD_VERDICT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace wasabi::support {

// The counts of `result` that are above zero though every request must have
// been answered, as "lost=2 refused=1"; empty where all were answered.
std::string FailedCounts(const nlohmann::json& result);

// As FailedCounts, but requests may end in a refusal or an explicit error.
std::string WrongCounts(const nlohmann::json& result);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_SCENARIO_LOAD_VERDICT_H_
