// Extrapolates the total demand on a pool to the present while demand falls.

#ifndef LIBROUTING_DEMAND_TREND_H_
#define LIBROUTING_DEMAND_TREND_H_

#include "LibCore/time.h"
#include "LibRouting/pool_load.h"

namespace wasabi::routing {

// When demand falls, a stale total yields a load cap that is too high: the cap
// exceeds the bound by the amount that demand fell during the lag. This class
// extrapolates the trend of the latest totals, but only downwards. While demand
// rises, a stale total yields a lower cap, which is safe.
class DemandTrend {
 public:
  // Records the latest known demand on the pool.
  void Observe(const PoolDemand& pool, core::TimePoint now);

  // Returns the estimated demand at `now`. `lag` is the age that the latest
  // total had when it was first observed.
  PoolDemand Estimate(core::Duration lag, core::TimePoint now) const;

 private:
  PoolDemand latest_;
  core::TimePoint latest_change_;
  bool has_latest_ = false;
  // Smoothed relative change of the mean number of requests, per second.
  double slope_ = 0;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_DEMAND_TREND_H_
