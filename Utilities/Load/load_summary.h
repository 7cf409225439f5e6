// Computes the measurements of a run and formats them as text and as one JSON
// object.

#ifndef UTILITIES_LOAD_LOAD_SUMMARY_H_
#define UTILITIES_LOAD_LOAD_SUMMARY_H_

#include <nlohmann/json.hpp>
#include <string>

#include "Utilities/Load/checker.h"
#include "Utilities/Load/experiment.h"
#include "Utilities/Load/load_run.h"

namespace wasabi::load {

// The 50th, 95th and 99th percentile of a latency, in milliseconds.
struct Latency {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

struct LoadSummary {
  std::string experiment;
  uint64_t seed = 0;
  CheckResult check;
  CacheReuse reuse;
  // Skew between engines, by request count and by outstanding tokens.
  SkewResult request_skew;
  SkewResult token_skew;
  Latency first_token;
  Latency between_tokens;
  Latency service_call;
  double control_bytes_per_second_max = 0;
  uint64_t reattachments = 0;
  uint64_t refused_sends = 0;
  uint64_t peak_streams = 0;
  uint64_t executions = 0;
  uint64_t host_questions = 0;
};

// Computes the measurements from the records of a run and checks its answers.
LoadSummary Summarise(const Experiment& experiment, const RunRecords& records);

// Returns a human-readable summary of a few lines.
std::string ToText(const LoadSummary& summary);

// Returns all measurements. The keys that issue 3 specifies are at the top
// level.
nlohmann::json ToJson(const LoadSummary& summary);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_LOAD_SUMMARY_H_
