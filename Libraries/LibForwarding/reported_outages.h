// Tracks the endpoints that other hosts have recently reported as silent, which
// means that they do not respond. Performs no I/O; the caller passes in the
// time.
//
// Load pattern: many endpoints lose power at once. Without reports, every host
// would try every one of them, and lose a connect timeout each time.

#ifndef LIBFORWARDING_REPORTED_OUTAGES_H_
#define LIBFORWARDING_REPORTED_OUTAGES_H_

#include <cstdint>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class ReportedOutages {
 public:
  // Replaces the report of `host`, which finds exactly the endpoints with these
  // keys (LoadTable::KeyOf) silent.
  void ApplyReport(const core::HostId& host,
                   const std::vector<uint32_t>& silent,
                   core::TimePoint now);
  // Discards the reports about an endpoint that has restarted, because they are
  // stale.
  void Forget(const core::RunnerId& endpoint);

  // Returns whether several hosts report the endpoint as silent. A single host
  // may have lost its own link.
  bool IsSilent(const core::RunnerId& endpoint, core::TimePoint now) const;

 private:
  // The latest report of a host about an endpoint.
  struct Report {
    core::HostId host;
    core::TimePoint received_at;
  };

  // Reports by endpoint key.
  absl::flat_hash_map<uint32_t, std::vector<Report>> reports_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_REPORTED_OUTAGES_H_
