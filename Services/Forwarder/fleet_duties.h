// Which hosts read the platform and which relay what was read, derived from the
// member table. Hosts may disagree for seconds: then two hosts do the same work
// or, until a view grows old, none does. Pure decision code.

#ifndef SERVICES_FORWARDER_FLEET_DUTIES_H_
#define SERVICES_FORWARDER_FLEET_DUTIES_H_

#include <cstddef>
#include <vector>

#include "LibCore/identifier.h"
#include "LibMembership/member_table.h"

namespace wasabi::forwarder {

struct FleetDuties {
  // Place in the order of readers: 0 reads all the time, the next ones step in
  // when its reports stay away.
  size_t reader_rank = 0;
  // This host relays to the others of its data centre.
  bool is_relay = false;
  // The relays of the other data centres.
  std::vector<core::HostId> other_relays;
  // The other hosts of this data centre, and of the fleet.
  std::vector<core::HostId> neighbours;
  std::vector<core::HostId> others;
};

FleetDuties DeriveDuties(const membership::MemberTable& table,
                         const core::HostId& self,
                         const core::DataCentreId& data_centre);

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_FLEET_DUTIES_H_
