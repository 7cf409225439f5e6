#include "Services/Forwarder/fleet_duties.h"

#include <set>

namespace wasabi::forwarder {

namespace {

using membership::Member;
using membership::MemberRole;

constexpr std::string_view kReaderDuty = "platform-reader";
constexpr std::string_view kRelayDuty = "topic-relay";

const Member* RelayOf(const membership::MemberTable& table,
                      const core::DataCentreId& data_centre) {
  return table.OwnerWithin(kRelayDuty, MemberRole::kRouter, data_centre);
}

}  // namespace

FleetDuties DeriveDuties(const membership::MemberTable& table,
                         const core::HostId& self,
                         const core::DataCentreId& data_centre) {
  FleetDuties duties;
  for (const Member* it :
       table.OwnersInOrder(kReaderDuty, MemberRole::kRouter)) {
    if (it->id == self) {
      break;
    }
    ++duties.reader_rank;
  }
  const Member* relay = RelayOf(table, data_centre);
  duties.is_relay = relay == nullptr || relay->id == self;
  std::set<core::DataCentreId> other_centres;
  for (const Member& it : table.members()) {
    if (it.id == self) {
      continue;
    }
    duties.others.push_back(it.id);
    if (it.data_centre == data_centre) {
      duties.neighbours.push_back(it.id);
    } else {
      other_centres.insert(it.data_centre);
    }
  }
  for (const core::DataCentreId& it : other_centres) {
    if (const Member* other = RelayOf(table, it)) {
      duties.other_relays.push_back(other->id);
    }
  }
  // A reader that is not its own data centre's relay tells that one too.
  if (!duties.is_relay) {
    duties.other_relays.push_back(relay->id);
  }
  return duties;
}

}  // namespace wasabi::forwarder
