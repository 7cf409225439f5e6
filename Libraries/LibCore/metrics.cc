#include "LibCore/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <utility>
#include <vector>

#include "LibCore/text.h"

namespace wasabi::core {

namespace {

namespace acc = boost::accumulators;

using AccumulatorSet = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square>>;

const std::vector<double>& Probabilities() {
  static const std::vector<double> kProbabilities = {0.5, 0.95, 0.99};
  return kProbabilities;
}

}  // namespace

struct Distribution::State {
  AccumulatorSet values{acc::extended_p_square_probabilities = Probabilities()};

  double Percentile(size_t index) const {
    const double value = acc::extended_p_square(values)[index];
    return acc::count(values) == 0 || std::isnan(value) ? 0.0 : value;
  }
};

Distribution::Distribution() : state_(std::make_unique<State>()) {}
Distribution::~Distribution() = default;

void Distribution::Add(double value) {
  state_->values(value);
}

uint64_t Distribution::Count() const {
  return acc::count(state_->values);
}

double Distribution::Mean() const {
  return Count() == 0 ? 0.0 : acc::mean(state_->values);
}

double Distribution::Percentile50() const {
  return state_->Percentile(0);
}

double Distribution::Percentile95() const {
  return state_->Percentile(1);
}

double Distribution::Percentile99() const {
  return state_->Percentile(2);
}

uint64_t& Metrics::Counter(std::string_view name) {
  const auto it = counters_.find(name);
  if (it != counters_.end()) {
    return it->second;
  }
  return counters_.emplace(std::string(name), 0).first->second;
}

Distribution& Metrics::Timing(std::string_view name) {
  auto it = timings_.find(name);
  if (it == timings_.end()) {
    it = timings_.emplace(std::string(name), std::make_unique<Distribution>())
             .first;
  }
  return *it->second;
}

void Metrics::Gauge(std::string_view name, std::function<double()> read) {
  gauges_[std::string(name)] = std::move(read);
}

std::string Metrics::ToText() const {
  std::string text;
  for (const auto& [name, value] : counters_) {
    text += fmt::format("wasabi_{} {}\n", name, value);
  }
  for (const auto& [name, read] : gauges_) {
    text += fmt::format("wasabi_{} {:.10g}\n", name, read());
  }
  for (const auto& [name, timing] : timings_) {
    text += fmt::format("wasabi_{}_count {}\n", name, timing->Count());
    text += fmt::format("wasabi_{}{{quantile=\"0.5\"}} {:g}\n", name,
                        timing->Percentile50());
    text += fmt::format("wasabi_{}{{quantile=\"0.95\"}} {:g}\n", name,
                        timing->Percentile95());
    text += fmt::format("wasabi_{}{{quantile=\"0.99\"}} {:g}\n", name,
                        timing->Percentile99());
  }
  return text;
}

}  // namespace wasabi::core
