#include "Tests/Support/Scenario/load_verdict.h"

#include <cstdint>
#include <initializer_list>

#include "LibCore/text.h"

namespace wasabi::support {

namespace {

// Counts that must be zero under any fault.
constexpr std::initializer_list<const char*> kViolations = {
    "wrong_answers", "lost", "doubled", "not_run_but_executed"};
// Counts of requests that ended with an explicit error in place of an answer.
constexpr std::initializer_list<const char*> kExplicitEndings = {
    "refused", "failed_explicit", "unknown"};

std::string CountsAboveZero(const nlohmann::json& result,
                            std::initializer_list<const char*> names) {
  std::string text;
  for (const char* name : names) {
    const auto count = result.value(name, uint64_t{1});
    if (count > 0) {
      text += fmt::format("{}{}={}", text.empty() ? "" : " ", name, count);
    }
  }
  return text;
}

}  // namespace

std::string FailedCounts(const nlohmann::json& result) {
  return CountsAboveZero(result, kViolations) +
         CountsAboveZero(result, kExplicitEndings);
}

std::string ViolationCounts(const nlohmann::json& result) {
  return CountsAboveZero(result, kViolations);
}

}  // namespace wasabi::support
