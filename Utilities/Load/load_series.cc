#include "Utilities/Load/load_series.h"

#include <algorithm>
#include <vector>

#include "Utilities/Load/checker.h"

namespace wasabi::load {

namespace {

constexpr core::Duration kInterval = std::chrono::milliseconds(500);
constexpr int kPercentiles = 100;

using Series = std::vector<double>;

size_t IntervalCount(const Experiment& experiment) {
  return static_cast<size_t>(experiment.duration / kInterval) + 1;
}

// Adds `value` to the interval that contains `elapsed`; does nothing if
// `elapsed` is outside the series.
void AddAt(Series* series, core::Duration elapsed, double value) {
  const auto index = static_cast<size_t>(elapsed / kInterval);
  if (elapsed >= core::Duration::zero() && index < series->size()) {
    (*series)[index] += value;
  }
}

// Returns the mean request count of the engine's samples in each interval; 0
// for an interval without samples.
Series MeanRequests(const EndpointRecords& engine,
                    int64_t start_ns,
                    size_t intervals) {
  Series sums(intervals, 0);
  Series counts(intervals, 0);
  for (const LoadSample& it : engine.samples) {
    const auto elapsed = core::duration_cast<core::Duration>(
        std::chrono::nanoseconds(it.at_ns - start_ns));
    AddAt(&sums, elapsed, it.requests);
    AddAt(&counts, elapsed, 1);
  }
  for (size_t i = 0; i < intervals; ++i) {
    sums[i] = counts[i] > 0 ? sums[i] / counts[i] : 0;
  }
  return sums;
}

// Returns the load of the most loaded engine divided by the mean load, per
// interval; 0 for an interval without load.
Series SkewOf(const std::vector<Series>& engines, size_t intervals) {
  Series skew(intervals, 0);
  for (size_t i = 0; i < intervals; ++i) {
    double sum = 0;
    double maximum = 0;
    for (const Series& engine : engines) {
      sum += engine[i];
      maximum = std::max(maximum, engine[i]);
    }
    skew[i] = sum > 0 ? maximum * static_cast<double>(engines.size()) / sum : 0;
  }
  return skew;
}

Series FirstTokenPercentiles(const RunRecords& records) {
  std::vector<double> values_ms;
  for (const ChatOutcome& it : records.chats) {
    if (it.first_token > core::Duration::zero()) {
      values_ms.push_back(core::ToSeconds(it.first_token) * 1e3);
    }
  }
  Series percentiles;
  for (int i = 0; i <= kPercentiles; ++i) {
    const double share = static_cast<double>(i) / kPercentiles;
    percentiles.push_back(Percentile(values_ms, share));
  }
  return percentiles;
}

}  // namespace

nlohmann::json MakeSeries(const Experiment& experiment,
                          const RunRecords& records) {
  const size_t intervals = IntervalCount(experiment);
  const int64_t start_ns =
      records.begin_ns -
      core::duration_cast<std::chrono::nanoseconds>(experiment.warm_up).count();
  nlohmann::json engine_requests = nlohmann::json::object();
  std::vector<Series> engines;
  for (const EndpointRecords& it : records.endpoints) {
    if (!it.samples.empty()) {
      engines.push_back(MeanRequests(it, start_ns, intervals));
      engine_requests[it.id] = engines.back();
    }
  }
  Series whole(intervals, 0);
  Series refused(intervals, 0);
  for (const ChatOutcome& it : records.chats) {
    AddAt(&whole, it.arrival, it.ending == Ending::kAnswered ? 1 : 0);
    AddAt(&refused, it.arrival, static_cast<double>(it.refused_ids.size()));
  }
  return {{"interval_ms", core::ToMilliseconds(kInterval)},
          {"engine_requests", engine_requests},
          {"skew", SkewOf(engines, intervals)},
          {"whole_answers", whole},
          {"refused_sends", refused},
          {"first_token_ms", FirstTokenPercentiles(records)}};
}

}  // namespace wasabi::load
