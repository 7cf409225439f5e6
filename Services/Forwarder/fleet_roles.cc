#include "Services/Forwarder/fleet_roles.h"

#include <set>

namespace wasabi::forwarder {

namespace {

using membership::Member;
using membership::MemberRole;

constexpr std::string_view kReaderRoleKey = "platform-reader";
constexpr std::string_view kRelayRoleKey = "topic-relay";

const Member* RelayOf(const membership::MemberTable& table,
                      const core::DataCentreId& data_centre) {
  return table.OwnerInDataCentre(kRelayRoleKey, MemberRole::kRouter,
                                 data_centre);
}

}  // namespace

FleetRoles DeriveRoles(const membership::MemberTable& table,
                       const core::HostId& self,
                       const core::DataCentreId& data_centre) {
  FleetRoles roles;
  for (const Member* it :
       table.RankedOwners(kReaderRoleKey, MemberRole::kRouter)) {
    if (it->id == self) {
      break;
    }
    ++roles.reader_rank;
  }
  const Member* relay = RelayOf(table, data_centre);
  roles.is_relay = relay == nullptr || relay->id == self;
  std::set<core::DataCentreId> other_data_centres;
  for (const Member& it : table.members()) {
    if (it.id == self) {
      continue;
    }
    roles.others.push_back(it.id);
    if (it.data_centre == data_centre) {
      roles.data_centre_peers.push_back(it.id);
    } else {
      other_data_centres.insert(it.data_centre);
    }
  }
  for (const core::DataCentreId& it : other_data_centres) {
    if (const Member* other = RelayOf(table, it)) {
      roles.report_relays.push_back(other->id);
    }
  }
  // A reader that does not relay for its own data centre also reports to the
  // host that does.
  if (!roles.is_relay) {
    roles.report_relays.push_back(relay->id);
  }
  return roles;
}

}  // namespace wasabi::forwarder
