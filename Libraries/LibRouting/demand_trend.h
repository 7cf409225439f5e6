// Corrects the pool's sum for its age while demand falls.

#ifndef LIBROUTING_DEMAND_TREND_H_
#define LIBROUTING_DEMAND_TREND_H_

#include "LibCore/time.h"
#include "LibRouting/pool_load.h"

namespace wasabi::routing {

// A sum that lags behind falling demand gives a cap that is too high, and the
// excess over the bound is what fell within the lag. The trend of the latest
// sums is continued to the present, downwards only: while demand rises, a sum
// that lags errs on the safe side.
class DemandTrend {
 public:
  // Notes the latest known demand on the pool.
  void Observe(const PoolDemand& pool, core::TimePoint now);

  // The demand now, where the latest sum was `lag` old when it was first seen.
  PoolDemand Estimate(core::Duration lag, core::TimePoint now) const;

 private:
  PoolDemand latest_;
  core::TimePoint latest_change_;
  bool has_latest_ = false;
  // Relative change of the mean requests, per second.
  double slope_ = 0;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_DEMAND_TREND_H_
