// Counters, gauges and latency distributions of one process, exported as text
// at GET /metrics.

#ifndef LIBCORE_METRICS_H_
#define LIBCORE_METRICS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace wasabi::core {

// Count, mean, and 50th, 95th and 99th percentile of a series of values. The
// percentiles are P-square estimates by Boost.Accumulators; all results are 0
// without values.
class Distribution {
 public:
  Distribution();
  ~Distribution();
  void Add(double value);
  uint64_t Count() const;
  double Mean() const;
  double Percentile50() const;
  double Percentile95() const;
  double Percentile99() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

class Metrics {
 public:
  // Returns the counter `name`, created on first use. The reference stays valid
  // for the lifetime of this object.
  uint64_t& Counter(std::string_view name);
  // Returns the distribution `name`, created on first use. The reference stays
  // valid for the lifetime of this object.
  Distribution& Timing(std::string_view name);
  // Registers the gauge `name`; `read` is called on each export.
  void Gauge(std::string_view name, std::function<double()> read);

  // Returns all values in the Prometheus text exposition format.
  std::string ToText() const;

 private:
  std::map<std::string, uint64_t, std::less<>> counters_;
  std::map<std::string, std::unique_ptr<Distribution>, std::less<>> timings_;
  std::map<std::string, std::function<double()>, std::less<>> gauges_;
};

}  // namespace wasabi::core

#endif  // LIBCORE_METRICS_H_
