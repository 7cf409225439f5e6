// The hosts to which a host reports.

#ifndef LIBFORWARDING_REPORT_PEERS_H_
#define LIBFORWARDING_REPORT_PEERS_H_

#include <algorithm>
#include <vector>

#include "LibCore/identifier.h"

namespace wasabi::forwarding {

// The hosts with which a host exchanges reports, without itself. In a small
// fleet every host reports to every other host. In a large one a host reports
// to the aggregators of its data centre, and they inform the rest.
struct ReportPeers {
  std::vector<core::HostId> fleet;
  std::vector<core::HostId> data_centre;
  // The aggregators of this host's data centre, best first. Includes this host
  // if it is one of them.
  std::vector<core::HostId> aggregators;
  // The aggregators of all other data centres.
  std::vector<core::HostId> other_aggregators;

  // Returns whether reports go through aggregators.
  bool UsesAggregators() const {
    constexpr size_t kMaxDirectPeers = 23;
    return fleet.size() > kMaxDirectPeers;
  }
  bool IsAggregator(const core::HostId& host) const {
    return std::find(aggregators.begin(), aggregators.end(), host) !=
           aggregators.end();
  }
  // Returns whether the host `self` passes the reports of others on.
  bool PassesReportsOn(const core::HostId& self) const {
    return UsesAggregators() && IsAggregator(self);
  }
  // Returns the hosts to which the host `self` sends its reports, and those
  // that it passes on.
  std::vector<core::HostId> ReceiversOf(const core::HostId& self) const {
    if (!UsesAggregators()) {
      return fleet;
    }
    if (!IsAggregator(self)) {
      return aggregators;
    }
    std::vector<core::HostId> receivers = data_centre;
    receivers.insert(receivers.end(), other_aggregators.begin(),
                     other_aggregators.end());
    return receivers;
  }
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_REPORT_PEERS_H_
