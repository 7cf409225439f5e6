// Derives the maximum load of one runner from the mean load of its pool.

#ifndef LIBROUTING_LOAD_CAP_H_
#define LIBROUTING_LOAD_CAP_H_

#include <compare>
#include <cstdint>

#include "LibRouting/pool_load.h"

namespace wasabi::routing {

// The load of one runner.
struct RunnerLoad {
  uint32_t requests = 0;
  // Outstanding work, in tokens.
  double tokens = 0;

  auto operator<=>(const RunnerLoad&) const = default;
};

// Limits on the load of one runner.
struct LoadCap {
  // Maximum number of concurrently running requests. At least 1, so that an
  // idle runner always accepts work.
  uint32_t requests = 1;
  // Limit on the outstanding work, in tokens. A request is admitted while the
  // outstanding work is below the limit, so the load exceeds it by at most the
  // work of one request.
  double tokens = 0;
  // Number of concurrently running requests up to which neither limit applies.
  uint32_t guaranteed_requests = 1;

  auto operator<=>(const LoadCap&) const = default;

  // Returns true if a runner with `load` may start another request.
  bool Admits(const RunnerLoad& load) const;
};

// The inputs of MakeLoadCap.
struct LoadCapInput {
  // Maximum ratio of the runner's load to the mean load of the pool.
  double load_bound = 1.25;
  // Maximum number of concurrently running requests, regardless of the mean.
  uint32_t max_running = 1;
  // Number of requests that a runner may always run, regardless of the mean.
  uint32_t minimum_cap = 1;
  // Share of the load bound that the runner takes, in (0, 1]; below 1 during
  // slow start.
  double share = 1;
  // Latest known demand on the pool. `runners` is 0 if none is known yet.
  PoolDemand pool;
  // Current demand on this runner. It is a lower limit for the pool's demand,
  // which may be stale.
  PoolDemand own;
};

// Returns a cap of ceil(load_bound × share × mean) requests, clamped to
// [minimum_cap, max_running], and of load_bound × share × mean tokens. If the
// mean is not known yet, only max_running applies.
LoadCap MakeLoadCap(const LoadCapInput& input);

}  // namespace wasabi::routing

#endif  // LIBROUTING_LOAD_CAP_H_
