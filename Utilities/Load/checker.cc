#include "Utilities/Load/checker.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "LibCore/text.h"
#include "Tests/Support/answer_text.h"

namespace wasabi::load {

namespace {

// Length of the intervals over which the skew is computed, in nanoseconds.
constexpr int64_t kSkewIntervalNs = 100'000'000;

using Counts = std::map<std::string, uint64_t>;

void AddProblem(CheckResult* result, std::string text) {
  if (result->problems.size() < kMaxProblems) {
    result->problems.push_back(std::move(text));
  }
}

uint64_t CountOf(const Counts& counts, const std::string& name) {
  const auto it = counts.find(name);
  return it == counts.end() ? 0 : it->second;
}

void CheckAnswer(const ChatOutcome& outcome, CheckResult* result) {
  if (IsWhole(outcome)) {
    ++result->whole_answers;
    return;
  }
  ++result->wrong_answers;
  AddProblem(
      result,
      fmt::format("wrong answer to request {}: {} of {} bytes, {} chunks "
                  "of other requests",
                  outcome.request_id, outcome.text.size(),
                  outcome.max_tokens * support::kBytesPerToken,
                  outcome.foreign_chunks));
}

void CheckChat(const ChatOutcome& outcome,
               const Counts& executions_by_id,
               CheckResult* result) {
  ++result->requests;
  switch (outcome.ending) {
    case Ending::kAnswered:
      CheckAnswer(outcome, result);
      break;
    case Ending::kRefused:
      ++result->refused;
      break;
    case Ending::kUnknown:
      ++result->unknown;
      break;
    case Ending::kFailed:
      ++result->failed_explicit;
      break;
    case Ending::kNone:
      ++result->lost;
      AddProblem(result, fmt::format("lost: request {} after {} sends",
                                     outcome.request_id, outcome.sends));
      break;
  }
  for (const std::string& id : outcome.refused_ids) {
    if (CountOf(executions_by_id, id) > 0) {
      ++result->not_run_but_executed;
      AddProblem(result, fmt::format("refused but executed: request {}", id));
    }
  }
}

// The combined outcome of all sends with one idempotency key.
struct KeyOutcome {
  bool is_answered = false;
  bool is_wrong = false;
  bool is_refused = false;
  bool is_unknown = false;
  bool is_failed = false;
  int64_t sends = 0;
  core::Duration longest = core::Duration::zero();
};

std::map<std::string, KeyOutcome> GroupByKey(
    const std::vector<ServiceOutcome>& services) {
  std::map<std::string, KeyOutcome> keys;
  for (const ServiceOutcome& it : services) {
    KeyOutcome& key = keys[it.idempotency_key];
    const bool is_answered = it.ending == Ending::kAnswered;
    key.is_answered |= is_answered;
    key.is_wrong |= is_answered && it.answered_key != it.idempotency_key;
    key.is_refused |= it.ending == Ending::kRefused;
    key.is_unknown |= it.ending == Ending::kUnknown;
    key.is_failed |= it.ending == Ending::kFailed;
    key.sends += it.sends;
    key.longest = std::max(key.longest, it.latency);
  }
  return keys;
}

void CountKey(const std::string& name,
              const KeyOutcome& key,
              CheckResult* result) {
  ++result->requests;
  if (key.is_wrong) {
    ++result->wrong_answers;
    AddProblem(result, fmt::format("wrong answer to key {}", name));
  } else if (key.is_answered) {
    ++result->whole_answers;
  } else if (key.is_unknown) {
    ++result->unknown;
  } else if (key.is_refused) {
    ++result->refused;
  } else if (key.is_failed) {
    ++result->failed_explicit;
  } else {
    ++result->lost;
    AddProblem(result,
               fmt::format("lost: key {} after {} sends in {} ms", name,
                           key.sends, core::ToMilliseconds(key.longest)));
  }
}

void CheckKey(const std::string& name,
              const KeyOutcome& key,
              uint64_t executions,
              CheckResult* result) {
  KeyOutcome checked = key;
  // An answer to a key that no service executed can't come from a service.
  checked.is_wrong |= key.is_answered && executions == 0;
  CountKey(name, checked, result);
  if (key.is_refused && executions > 0) {
    ++result->not_run_but_executed;
    AddProblem(result, fmt::format("refused but executed: key {}", name));
  }
}

// Returns the load of `engine` at the last sample of each interval; 0 for an
// interval without a sample.
std::vector<double> LoadPerInterval(const EndpointRecords& engine,
                                    LoadMeasure measure,
                                    int64_t begin_ns,
                                    size_t intervals) {
  std::vector<double> loads(intervals, 0);
  for (const LoadSample& it : engine.samples) {
    const int64_t index = (it.at_ns - begin_ns) / kSkewIntervalNs;
    if (it.at_ns < begin_ns || index >= static_cast<int64_t>(intervals)) {
      continue;
    }
    loads[static_cast<size_t>(index)] = measure == LoadMeasure::kRequests
                                            ? static_cast<double>(it.requests)
                                            : static_cast<double>(it.tokens);
  }
  return loads;
}

double Share(uint64_t part, uint64_t whole) {
  return whole == 0 ? 1
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

CheckResult CheckRun(const std::vector<ChatOutcome>& chats,
                     const std::vector<ServiceOutcome>& services,
                     const std::vector<support::Execution>& executions) {
  Counts by_id;
  Counts by_key;
  for (const support::Execution& it : executions) {
    ++by_id[it.request_id];
    if (!it.idempotency_key.empty()) {
      ++by_key[it.idempotency_key];
    }
  }
  CheckResult result;
  for (const ChatOutcome& outcome : chats) {
    CheckChat(outcome, by_id, &result);
  }
  for (const auto& [name, key] : GroupByKey(services)) {
    CheckKey(name, key, CountOf(by_key, name), &result);
  }
  for (const auto& [name, count] : by_key) {
    if (count > 1) {
      ++result.doubled;
      AddProblem(&result, fmt::format("key {} executed {} times", name, count));
    }
  }
  return result;
}

bool IsWhole(const ChatOutcome& outcome) {
  const uint32_t length =
      support::AnswerLength(outcome.digest, outcome.max_tokens);
  return outcome.foreign_chunks == 0 &&
         outcome.text == support::AnswerText(outcome.digest, length);
}

double CacheReuse::TokenShare() const {
  return Share(reused_tokens, reusable_tokens);
}

double CacheReuse::WarmShare() const {
  return Share(warm_turns, returning_turns);
}

CacheReuse MeasureReuse(const std::vector<ChatOutcome>& chats,
                        core::Duration warm_up) {
  CacheReuse reuse;
  for (const ChatOutcome& it : chats) {
    const bool is_counted = it.ending == Ending::kAnswered &&
                            it.reusable_tokens > 0 && it.arrival >= warm_up;
    if (!is_counted) {
      continue;
    }
    ++reuse.returning_turns;
    reuse.warm_turns += it.cached_tokens >= it.reusable_tokens ? 1 : 0;
    reuse.reusable_tokens += it.reusable_tokens;
    reuse.reused_tokens += std::min(it.cached_tokens, it.reusable_tokens);
  }
  return reuse;
}

SkewResult MeasureSkew(const std::vector<EndpointRecords>& engines,
                       LoadMeasure measure,
                       int64_t begin_ns,
                       int64_t end_ns,
                       double min_mean) {
  const auto intervals = static_cast<size_t>(
      std::max<int64_t>(0, (end_ns - begin_ns) / kSkewIntervalNs));
  std::vector<std::vector<double>> loads;
  for (const EndpointRecords& engine : engines) {
    loads.push_back(LoadPerInterval(engine, measure, begin_ns, intervals));
  }
  std::vector<double> ratios;
  for (size_t i = 0; i < intervals && !loads.empty(); ++i) {
    double sum = 0;
    double maximum = 0;
    for (const std::vector<double>& engine : loads) {
      sum += engine[i];
      maximum = std::max(maximum, engine[i]);
    }
    const double mean = sum / static_cast<double>(loads.size());
    if (mean >= min_mean) {
      ratios.push_back(maximum / mean);
    }
  }
  SkewResult result;
  result.intervals = ratios.size();
  result.p50 = Percentile(ratios, 0.5);
  result.p99 = Percentile(ratios, 0.99);
  result.maximum = Percentile(ratios, 1);
  return result;
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(values.size() - 1);
  const auto index = static_cast<size_t>(std::lround(last * share));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

}  // namespace wasabi::load
