// The hosts of a data centre that spread reports of endpoint pace on behalf of
// an aggregator: one datagram to such a relay reaches the whole data centre, so
// that the traffic of an aggregator does not grow with the number of hosts.
// Hosts of earlier builds cannot; a host is a relay once it has said so.
//
// Decision code without I/O; the caller passes in the time.

#ifndef LIBFORWARDING_PACE_RELAYS_H_
#define LIBFORWARDING_PACE_RELAYS_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/pace_report.h"

namespace wasabi::forwarding {

class PaceRelays {
 public:
  // Records that a host spreads reports if asked to.
  void Add(const core::HostId& host);
  // Drops the hosts that are not in `hosts`.
  void Keep(const std::vector<core::HostId>& hosts);

  // Returns the relay whose turn it is, or nullptr if there is none. `reports`
  // count as given to it.
  const core::HostId* Assign(const std::vector<PaceReport>& reports,
                             core::TimePoint now);
  // Records that a relay has spread `reports`, as they were given to it.
  void OnSpread(const core::HostId& relay,
                const std::vector<PaceReport>& reports);
  // Returns the endpoints of reports that were given to relays and not spread
  // in time. Those hosts are relays no longer, until they are added again.
  std::vector<uint32_t> TakeOverdue(core::TimePoint now);

 private:
  struct Assigned {
    core::HostId relay;
    std::vector<PaceReport> reports;
    core::TimePoint at{};
  };

  // In the order of their turns.
  std::deque<core::HostId> relays_;
  std::deque<Assigned> assigned_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PACE_RELAYS_H_
