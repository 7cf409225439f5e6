// How long the endpoints of each pool take for a request, as this host sees
// it. Requests that have not ended yet count with the time that they have
// taken, else a host that has just started would know the short ones alone.
// Pure state.

#ifndef LIBFORWARDING_SERVICE_TIMES_H_
#define LIBFORWARDING_SERVICE_TIMES_H_

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class ServiceTimes {
 public:
  // A request of this host starts or ends at an endpoint of `pool`.
  void Start(const core::PoolId& pool, core::TimePoint now);
  void Finish(const core::PoolId& pool, core::TimePoint now);
  // A request that ended was served.
  void RecordServed(const core::PoolId& pool, core::TimePoint now);

  // Whether what other hosts reported up to `age` ago still says something of
  // the load. Requests that surely take less time have ended since, and hosts
  // that followed the same old report would all choose the same endpoint.
  bool AreReportsUseful(const core::PoolId& pool,
                        core::Duration age,
                        core::TimePoint now) const;

 private:
  // Sums whose old parts fade.
  struct Sums {
    int running = 0;
    // Time that requests spent at endpoints, in seconds.
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
