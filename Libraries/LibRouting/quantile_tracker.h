// Estimates a quantile of positive values in constant memory, by stochastic
// approximation on a logarithmic scale. A minority of extreme values moves a
// median by no more than as many slightly larger ones would. Performs no I/O.

#ifndef LIBROUTING_QUANTILE_TRACKER_H_
#define LIBROUTING_QUANTILE_TRACKER_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace wasabi::routing {

class QuantileTracker {
 public:
  // `quantile` is between 0 and 1.
  explicit QuantileTracker(double quantile) : quantile_(quantile) {}

  void Add(double value) {
    if (value <= 0) {
      return;
    }
    ++count_;
    if (count_ == 1) {
      value_ = value;
      return;
    }
    // Early values move the estimate further, so that a first one far from the
    // quantile is made up for soon.
    constexpr double kMinStep = 0.05;
    const double step = std::max(kMinStep, 1.0 / static_cast<double>(count_));
    value_ *=
        std::exp(value > value_ ? step * quantile_ : -step * (1 - quantile_));
  }

  // 0 before the first value.
  double value() const { return value_; }
  uint64_t count() const { return count_; }

 private:
  double quantile_;
  double value_ = 0;
  uint64_t count_ = 0;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_QUANTILE_TRACKER_H_
