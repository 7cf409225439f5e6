// Compares the answers that callers received with the executions that the
// stand-in endpoints recorded. The checker depends only on the protocols and on
// no router code, so that it verifies the routers independently.

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

// Counts over a whole run. A request is one chat turn or one idempotency key.
struct CheckResult {
  uint64_t requests = 0;
  uint64_t whole_answers = 0;
  // Answers whose content, length or request id differs from what the endpoint
  // produced.
  uint64_t wrong_answers = 0;
  // Requests that received neither an answer nor an explicit error.
  uint64_t lost = 0;
  // Idempotency keys that were executed more than once.
  uint64_t doubled = 0;
  uint64_t refused = 0;
  uint64_t failed_explicit = 0;
  uint64_t unknown = 0;
  // Requests and keys that were executed although a caller received a refusal,
  // which states that the request was not run.
  uint64_t not_run_but_executed = 0;
  // Descriptions of the violations, limited to the first kMaxProblems.
  std::vector<std::string> problems;

  auto operator<=>(const CheckResult&) const = default;

  // Returns true if no request was lost, answered wrongly, executed more than
  // once, or executed after a refusal.
  bool HasNoViolations() const {
    return wrong_answers == 0 && lost == 0 && doubled == 0 &&
           not_run_but_executed == 0;
  }
};

inline constexpr size_t kMaxProblems = 20;

// Checks all outcomes of a run against `executions`, the executions that the
// endpoints recorded.
CheckResult CheckRun(const std::vector<ChatOutcome>& chats,
                     const std::vector<ServiceOutcome>& services,
                     const std::vector<support::Execution>& executions);

// Returns true if `outcome` contains the complete, correct answer to its own
// request.
bool IsWhole(const ChatOutcome& outcome);

// How much of the context of earlier turns the engines reused from their
// caches.
struct CacheReuse {
  // Answered turns that had reusable tokens.
  uint64_t returning_turns = 0;
  // Returning turns whose reusable tokens were all cached.
  uint64_t warm_turns = 0;
  uint64_t reusable_tokens = 0;
  uint64_t reused_tokens = 0;

  // Ratio of reused to reusable tokens; 1 if there were no reusable tokens.
  double TokenShare() const;
  // Ratio of warm to returning turns; 1 if there were no returning turns.
  double WarmShare() const;
};

// Measures cache reuse over the answered turns that arrived at or after
// `warm_up`, counted from the start of the experiment.
CacheReuse MeasureReuse(const std::vector<ChatOutcome>& chats,
                        core::Duration warm_up);

// Percentiles of the load skew: the load of the most loaded engine divided by
// the mean load, computed per time interval.
struct SkewResult {
  double p50 = 0;
  double p99 = 0;
  double maximum = 0;
  // Number of intervals that were evaluated.
  uint64_t intervals = 0;
};

// The quantity of a load sample from which the skew is computed.
enum class LoadMeasure { kRequests, kTokens };

// Computes the skew over the intervals of [begin_ns, end_ns) in which the mean
// load is at least `min_mean`. Times are CLOCK_MONOTONIC, in nanoseconds.
SkewResult MeasureSkew(const std::vector<EndpointRecords>& engines,
                       LoadMeasure measure,
                       int64_t begin_ns,
                       int64_t end_ns,
                       double min_mean);

// Returns the quantile `share` (0 to 1) of `values`; 0 if `values` is empty.
double Percentile(std::vector<double> values, double share);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_CHECKER_H_
