// Derives from the member table which hosts read the platform's topics and
// which hosts relay the records. Hosts may disagree for seconds: then either
// two hosts do the same work, or none does until a view becomes stale. Pure
// functions without I/O.

#ifndef SERVICES_FORWARDER_FLEET_ROLES_H_
#define SERVICES_FORWARDER_FLEET_ROLES_H_

#include <cstddef>
#include <vector>

#include "LibCore/identifier.h"
#include "LibForwarding/report_peers.h"
#include "LibMembership/member_table.h"

namespace wasabi::forwarder {

struct FleetRoles {
  // This host's position in the order of readers. The host with rank 0 reads
  // the platform continuously; the next ranks take over when its reports stop.
  size_t reader_rank = 0;
  // True if this host relays reports to the other hosts of its data centre.
  bool is_relay = false;
  // The hosts to which a reader sends its reports: the relay of each other data
  // centre, and that of this data centre if it is not this host.
  std::vector<core::HostId> report_relays;
  // All other hosts of this data centre.
  std::vector<core::HostId> data_centre_peers;
  // All other hosts of the fleet.
  std::vector<core::HostId> others;
};

// Returns the roles of the host `self`, which runs in `data_centre`.
FleetRoles DeriveRoles(const membership::MemberTable& table,
                       const core::HostId& self,
                       const core::DataCentreId& data_centre);

// Returns the hosts with which the host `self` exchanges reports. The
// aggregators of a data centre are its hosts with the fastest links, in
// rendezvous order; hosts that are suspected to be down come last.
forwarding::ReportPeers DeriveReportPeers(
    const membership::MemberTable& table,
    const core::HostId& self,
    const core::DataCentreId& data_centre);

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_FLEET_ROLES_H_
