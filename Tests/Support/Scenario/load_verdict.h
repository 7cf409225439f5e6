// Extracts the error counts from a result of wasabi_load.

#ifndef TESTS_SUPPORT_SCENARIO_LOAD_VERDICT_H_
#define TESTS_SUPPORT_SCENARIO_LOAD_VERDICT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace wasabi::support {

// Returns the nonzero counts of violations and explicit errors in `result`, for
// example "lost=2 refused=1". A missing count is reported as 1. Returns an
// empty string if all requests were answered correctly.
std::string FailedCounts(const nlohmann::json& result);

// Like FailedCounts, but does not report refusals, explicit errors and unknown
// outcomes.
std::string ViolationCounts(const nlohmann::json& result);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_SCENARIO_LOAD_VERDICT_H_
