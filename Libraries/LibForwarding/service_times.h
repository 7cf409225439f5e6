// Estimates how long requests run at the endpoints of each pool, as seen by
// this host. Running requests count with the time that they have taken so far.
// Otherwise a host that has just started would only see the short ones.
// Performs no I/O; the caller passes in the time.

#ifndef LIBFORWARDING_SERVICE_TIMES_H_
#define LIBFORWARDING_SERVICE_TIMES_H_

#include <optional>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class ServiceTimes {
 public:
  // Records that a request of this host starts (Start) or ends (Finish) at an
  // endpoint of `pool`.
  void Start(const core::PoolId& pool, core::TimePoint now);
  void Finish(const core::PoolId& pool, core::TimePoint now);
  // Records that a request that has ended was served.
  void RecordServed(const core::PoolId& pool, core::TimePoint now);

  // Returns the mean time that a request of the pool takes at an endpoint, or
  // nullopt if too few have been served.
  std::optional<core::Duration> Mean(const core::PoolId& pool,
                                     core::TimePoint now) const;
  // Returns the same from the first request that was served on; zero until
  // then. For estimates that errors of a single request do not harm, such as
  // those that a granting host combines.
  core::Duration MeanSoFar(const core::PoolId& pool, core::TimePoint now) const;

  // Returns whether load reports that are up to `age` old still describe the
  // current load. They do not if requests are certain to take less time: the
  // reported requests have ended by then, and hosts that follow the same stale
  // report would all choose the same endpoint.
  bool AreReportsUseful(const core::PoolId& pool,
                        core::Duration age,
                        core::TimePoint now) const;

 private:
  // Sums that decay exponentially.
  struct Sums {
    int running = 0;
    // Total time of requests at endpoints, in seconds.
    double busy = 0;
    double served = 0;
    core::TimePoint updated_at{};
  };

  static Sums At(const Sums& sums, core::TimePoint now);
  Sums& Current(const core::PoolId& pool, core::TimePoint now);

  absl::flat_hash_map<core::PoolId, Sums> pools_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_SERVICE_TIMES_H_
