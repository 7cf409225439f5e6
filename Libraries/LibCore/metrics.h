// Counters, gauges and latency distributions of one process, as text for
// GET /metrics.

#ifndef LIBCORE_METRICS_H_
#define LIBCORE_METRICS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace wasabi::core {

// A distribution with its 50th, 95th and 99th percentile, by
// Boost.Accumulators' P-square estimate.
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
  // The counter `name`, made at its first use. The reference stays valid.
  uint64_t& Counter(std::string_view name);
  // The distribution `name`, made at its first use. The reference stays valid.
  Distribution& Timing(std::string_view name);
  // Registers a gauge that is read when the metrics are exported.
  void Gauge(std::string_view name, std::function<double()> read);

  // All values in the text exposition format that scrapers read.
  std::string ToText() const;

 private:
  std::map<std::string, uint64_t, std::less<>> counters_;
  std::map<std::string, std::unique_ptr<Distribution>, std::less<>> timings_;
  std::map<std::string, std::function<double()>, std::less<>> gauges_;
};

}  // namespace wasabi::core

#endif  // LIBCORE_METRICS_H_
