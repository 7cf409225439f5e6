#include "Services/Forwarder/fleet_roles.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "LibCore/text.h"

namespace wasabi::forwarder {
namespace {

using membership::Member;
using membership::MemberState;

constexpr size_t kHosts = 40;
constexpr size_t kDataCentres = 4;
constexpr uint32_t kSlowLink = 20;
constexpr uint32_t kFastLink = 200;

// Hosts h0 to h39 in turn in the data centres z0 to z3. Of each data centre,
// the first four have fast links.
std::vector<Member> MakeMembers() {
  std::vector<Member> members;
  for (size_t i = 0; i < kHosts; ++i) {
    Member member;
    member.id = core::HostId(fmt::format("h{}", i));
    member.data_centre =
        core::DataCentreId(fmt::format("z{}", i % kDataCentres));
    member.link_mbps = i / kDataCentres < 4 ? kFastLink : kSlowLink;
    members.push_back(member);
  }
  return members;
}

TEST_CASE("the hosts of a data centre agree on its aggregators and its relay") {
  const std::vector<Member> members = MakeMembers();
  const membership::MemberTable table(members);
  size_t relays = 0;
  size_t readers = 0;
  for (const Member& it : members) {
    const forwarding::ReportPeers peers =
        DeriveReportPeers(table, it.id, it.data_centre);
    CHECK(peers.fleet.size() == kHosts - 1);
    CHECK(peers.data_centre.size() == kHosts / kDataCentres - 1);
    CHECK(peers.other_aggregators.size() == 3 * (kDataCentres - 1));
    const Member& neighbour =
        *std::find_if(members.begin(), members.end(), [&it](const Member& m) {
          return m.data_centre == it.data_centre && m.id != it.id;
        });
    CHECK(peers.aggregators ==
          DeriveReportPeers(table, neighbour.id, it.data_centre).aggregators);
    for (const core::HostId& aggregator : peers.aggregators) {
      CHECK(table.Find(aggregator)->link_mbps == kFastLink);
      CHECK(table.Find(aggregator)->data_centre == it.data_centre);
    }
    const FleetRoles roles = DeriveRoles(table, it.id, it.data_centre);
    relays += roles.is_relay ? 1 : 0;
    readers += roles.reader_rank == 0 ? 1 : 0;
    CHECK(roles.report_relays.size() ==
          (roles.is_relay ? kDataCentres - 1 : kDataCentres));
  }
  CHECK(relays == kDataCentres);
  CHECK(readers == 1);
}

TEST_CASE("a host that is suspected to be down is the last choice") {
  std::vector<Member> members = MakeMembers();
  const core::DataCentreId data_centre("z0");
  const core::HostId self("h36");
  const auto aggregators = [&]() {
    return DeriveReportPeers(membership::MemberTable(members), self,
                             data_centre)
        .aggregators;
  };
  const core::HostId first = aggregators().front();
  std::find_if(members.begin(), members.end(), [&first](const Member& it) {
    return it.id == first;
  })->state = MemberState::kSuspect;
  const auto after = aggregators();
  CHECK(std::find(after.begin(), after.end(), first) == after.end());
}

TEST_CASE("a host that knows no other is reader, relay and aggregator") {
  Member self;
  self.id = core::HostId("h0");
  self.data_centre = core::DataCentreId("z0");
  const membership::MemberTable table({self});
  const FleetRoles roles = DeriveRoles(table, self.id, self.data_centre);
  CHECK(roles.is_relay);
  CHECK(roles.reader_rank == 0);
  CHECK(roles.report_relays.empty());
  CHECK(DeriveReportPeers(table, self.id, self.data_centre).aggregators ==
        std::vector<core::HostId>{self.id});
}

}  // namespace
}  // namespace wasabi::forwarder
