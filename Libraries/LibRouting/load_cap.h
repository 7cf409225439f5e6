// The most load that one runner may carry, derived from the mean of its pool.

#ifndef LIBROUTING_LOAD_CAP_H_
#define LIBROUTING_LOAD_CAP_H_

#include <compare>
#include <cstdint>

#include "LibRouting/pool_load.h"

namespace wasabi::routing {

// The load of one runner.
struct RunnerLoad {
  uint32_t requests = 0;
  // Outstanding work.
  double tokens = 0;

  auto operator<=>(const RunnerLoad&) const = default;
};

struct LoadCap {
  // Most requests that run at once; at least one, so that an idle runner
  // always accepts work.
  uint32_t requests = 1;
  // A request is admitted while the outstanding work is below this, so the
  // load ends at most one request's worth above it.
  double tokens = 0;
  // Requests up to which neither limit applies.
  uint32_t free_requests = 1;

  auto operator<=>(const LoadCap&) const = default;

  // Whether a runner with `load` may start one more request.
  bool Admits(const RunnerLoad& load) const;
};

// What the cap is derived from.
struct LoadCapInput {
  double load_bound = 1.25;
  uint32_t max_running = 1;
  // Requests that a runner may run whatever the mean.
  uint32_t minimum_cap = 1;
  // Share of the bound during slow start, in (0, 1].
  double share = 1;
  // Latest known demand on the pool; no runners when nothing is known yet.
  PoolDemand pool;
  // Demand on the one runner now. The pool's sum lags, but is never below it.
  PoolDemand own;
};

// ceil(load_bound × mean) requests, between minimum_cap and max_running, and
// load_bound × mean tokens. Without a known mean only max_running applies.
LoadCap MakeLoadCap(const LoadCapInput& input);

}  // namespace wasabi::routing

#endif  // LIBROUTING_LOAD_CAP_H_
