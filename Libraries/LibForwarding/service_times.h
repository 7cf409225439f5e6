// Moving means of the time that the endpoints of each pool take for a request.
// Pure state.

#ifndef LIBFORWARDING_SERVICE_TIMES_H_
#define LIBFORWARDING_SERVICE_TIMES_H_

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class ServiceTimes {
 public:
  void Record(const core::PoolId& pool, core::Duration duration) {
    const double seconds = core::ToSeconds(duration);
    const auto [it, is_new] = means_.try_emplace(pool, seconds);
    if (!is_new) {
      it->second += kWeight * (seconds - it->second);
    }
  }

  // Whether what other hosts reported up to `age` ago still says something of
  // the load: requests that take less time have ended since, and hosts that
  // followed the same old report would all choose the same endpoint.
  bool AreReportsUseful(const core::PoolId& pool, core::Duration age) const {
    const auto it = means_.find(pool);
    return it == means_.end() || it->second >= core::ToSeconds(age);
  }

 private:
  // Weight of one request in its pool's mean.
  static constexpr double kWeight = 0.05;

  absl::flat_hash_map<core::PoolId, double> means_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_SERVICE_TIMES_H_
