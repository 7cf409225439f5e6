// The answers of the intent API as text for operators.

#ifndef UTILITIES_WASABICTL_REPORT_H_
#define UTILITIES_WASABICTL_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace wasabi::wasabictl {

// A plan with its changes and effects.
std::string PlanReport(const nlohmann::json& plan);

// The end of a confirmation.
std::string ConfirmReport(const nlohmann::json& answer);

// The state of the daemon and the fleet.
std::string StatusReport(const nlohmann::json& status);

}  // namespace wasabi::wasabictl

#endif  // UTILITIES_WASABICTL_REPORT_H_
