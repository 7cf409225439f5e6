// Endpoints that other hosts have lately found silent. Pure state.
//
// Load pattern: many endpoints lose power at once. Without reports every host
// would run into every one of them, and lose a connect timeout each time.

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
  // `host` finds the endpoints with these keys (LoadBoard::KeyOf) silent, and
  // no others.
  void ApplyReport(const core::HostId& host,
                   const std::vector<uint32_t>& silent,
                   core::TimePoint now);
  // The endpoint has started again: what was said of it no longer holds.
  void Forget(const core::RunnerId& endpoint);

  // Whether several hosts find the endpoint silent. One alone may have lost
  // its own link.
  bool IsSilent(const core::RunnerId& endpoint, core::TimePoint now) const;

 private:
  // A host's latest report of an endpoint.
  struct Report {
    core::HostId host;
    core::TimePoint received_at;
  };

  // By key of the endpoint.
  absl::flat_hash_map<uint32_t, std::vector<Report>> reports_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_REPORTED_OUTAGES_H_
