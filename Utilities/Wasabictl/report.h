// Formats the JSON responses of the intent API as text for operators.

#ifndef UTILITIES_WASABICTL_REPORT_H_
#define UTILITIES_WASABICTL_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace wasabi::wasabictl {

// Formats a plan with its state, its changes and their expected effects.
std::string PlanReport(const nlohmann::json& plan);

// Formats the result of a confirmation and the hosts that have not applied it.
std::string ConfirmReport(const nlohmann::json& answer);

// Formats the state of the daemon and the members of the fleet.
std::string StatusReport(const nlohmann::json& status);

}  // namespace wasabi::wasabictl

#endif  // UTILITIES_WASABICTL_REPORT_H_
