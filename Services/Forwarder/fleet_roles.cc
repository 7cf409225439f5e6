#include "Services/Forwarder/fleet_roles.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace wasabi::forwarder {

namespace {

using membership::Member;
using membership::MemberRole;

constexpr std::string_view kReaderRoleKey = "platform-reader";
constexpr std::string_view kRelayRoleKey = "topic-relay";
constexpr std::string_view kAggregatorRoleKey = "load-aggregator";
// Aggregators of a data centre, of which one acts.
constexpr size_t kAggregators = 3;

// Returns the members in the order in which they are preferred for a role that
// sends much: those that are not suspected to be down first, of these the ones
// with the fastest links, in rendezvous order.
std::vector<const Member*> RankedSenders(const membership::MemberTable& table,
                                         std::string_view role_key) {
  std::vector<const Member*> ranked =
      table.RankedOwners(role_key, MemberRole::kRouter);
  const auto preference = [](const Member* it) {
    return std::make_pair(it->state == membership::MemberState::kAlive,
                          it->link_mbps);
  };
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&](const Member* a, const Member* b) {
                     return preference(a) > preference(b);
                   });
  return ranked;
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
  for (const Member& it : table.members()) {
    if (it.id == self) {
      continue;
    }
    roles.others.push_back(it.id);
    if (it.data_centre == data_centre) {
      roles.data_centre_peers.push_back(it.id);
    }
  }
  // The first member of each data centre is its relay. A reader that does not
  // relay for its own data centre also reports to the host that does.
  std::set<core::DataCentreId> covered;
  roles.is_relay = true;
  for (const Member* it : RankedSenders(table, kRelayRoleKey)) {
    if (!covered.insert(it->data_centre).second || it->id == self) {
      continue;
    }
    roles.report_relays.push_back(it->id);
    roles.is_relay = roles.is_relay && it->data_centre != data_centre;
  }
  return roles;
}

forwarding::ReportPeers DeriveReportPeers(
    const membership::MemberTable& table,
    const core::HostId& self,
    const core::DataCentreId& data_centre) {
  forwarding::ReportPeers peers;
  for (const Member& it : table.members()) {
    if (it.id == self) {
      continue;
    }
    peers.fleet.push_back(it.id);
    if (it.data_centre == data_centre) {
      peers.data_centre.push_back(it.id);
    }
  }
  std::map<core::DataCentreId, size_t> counts;
  for (const Member* it : RankedSenders(table, kAggregatorRoleKey)) {
    if (++counts[it->data_centre] > kAggregators) {
      continue;
    }
    if (it->data_centre == data_centre) {
      peers.aggregators.push_back(it->id);
    } else {
      peers.other_aggregators.push_back(it->id);
    }
  }
  return peers;
}

}  // namespace wasabi::forwarder
