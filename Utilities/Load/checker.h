// The independent checker: compares what callers received with what the
// stand-in endpoints recorded. It knows the protocols only, no router.

#ifndef UTILITIES_LOAD_CHECKER_H_
#define UTILITIES_LOAD_CHECKER_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "Tests/Support/execution_log.h"
#include "Utilities/Load/endpoint_records.h"
#include "Utilities/Load/outcome.h"

namespace wasabi::load {

// Counts over a run. A request is one turn of a chat, or one idempotency key.
struct CheckResult {
  uint64_t requests = 0;
  uint64_t whole_answers = 0;
  // Answers that differ from the endpoint's by a byte, in length or in the
  // request that they name.
  uint64_t wrong_answers = 0;
  // Neither an answer nor an explicit error.
  uint64_t lost = 0;
  // Keys that were executed more than once.
  uint64_t doubled = 0;
  uint64_t refused = 0;
  uint64_t failed_explicit = 0;
  uint64_t unknown = 0;
  // Requests and keys that were executed though a caller was told "not run".
  uint64_t not_run_but_executed = 0;
  // Explanations of the violations, one a line; at most kMaxProblems.
  std::vector<std::string> problems;

  auto operator<=>(const CheckResult&) const = default;

  // Nothing was lost, wrong, doubled, or executed against a refusal.
  bool IsGood() const {
    return wrong_answers == 0 && lost == 0 && doubled == 0 &&
           not_run_but_executed == 0;
  }
};

inline constexpr size_t kMaxProblems = 20;

CheckResult CheckRun(const std::vector<ChatOutcome>& chats,
                     const std::vector<ServiceOutcome>& services,
                     const std::vector<support::Execution>& executions);

// Whether `outcome` carries the whole answer to its own request.
bool IsWhole(const ChatOutcome& outcome);

// Reuse of the context of earlier turns.
struct CacheReuse {
  uint64_t returning_turns = 0;
  // Turns whose reusable tokens were all cached.
  uint64_t warm_turns = 0;
  uint64_t reusable_tokens = 0;
  uint64_t reused_tokens = 0;

  // Reused over reusable tokens; 1 where nothing could be reused.
  double TokenShare() const;
  // Warm over returning turns; 1 where no turn returned.
  double WarmShare() const;
};

// Over the whole answers to turns that arrived after `warm_up`.
CacheReuse MeasureReuse(const std::vector<ChatOutcome>& chats,
                        core::Duration warm_up);

// Load of the most loaded engine over the mean, per interval of time.
struct SkewResult {
  double p50 = 0;
  double p99 = 0;
  double maximum = 0;
  uint64_t intervals = 0;
};

// Which count of a sample the skew is about.
enum class LoadMeasure { kRequests, kTokens };

// The skew over the intervals of [begin_ns, end_ns) in which the mean is at
// least `min_mean`.
SkewResult MeasureSkew(const std::vector<EndpointRecords>& engines,
                       LoadMeasure measure,
                       int64_t begin_ns,
                       int64_t end_ns,
                       double min_mean);

// The value at `share` (0 to 1) of the sorted `values`; 0 where empty.
double Percentile(std::vector<double> values, double share);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_CHECKER_H_
