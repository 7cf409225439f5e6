#include "LibMembership/member_table.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/rendezvous.h"

namespace wasabi::membership {

namespace {

bool CanOwn(const Member& member, MemberRole role) {
  return member.role == role && (member.state == MemberState::kAlive ||
                                 member.state == MemberState::kSuspect);
}

std::vector<const Member*> Select(
    const std::vector<Member>& members,
    const std::function<bool(const Member&)>& is_candidate) {
  std::vector<const Member*> selected;
  for (const Member& member : members) {
    if (is_candidate(member)) {
      selected.push_back(&member);
    }
  }
  return selected;
}

// Returns the members of `role` that are eligible as owners. Leaving members
// still serve until their work is finished, so they remain eligible if no other
// member is known. This happens when all members leave while a replacement
// starts, since they don't know the replacement immediately.
std::vector<const Member*> SelectOwnerCandidates(
    const std::vector<Member>& members,
    MemberRole role) {
  auto owners = Select(
      members, [role](const Member& member) { return CanOwn(member, role); });
  if (!owners.empty()) {
    return owners;
  }
  return Select(members,
                [role](const Member& member) { return member.role == role; });
}

std::vector<core::RendezvousCandidate> ToCandidates(
    const std::vector<const Member*>& members) {
  std::vector<core::RendezvousCandidate> candidates;
  candidates.reserve(members.size());
  for (const Member* member : members) {
    candidates.push_back({member->id.Hash(), 1.0});
  }
  return candidates;
}

const Member* RendezvousOwner(std::string_view thing,
                              const std::vector<const Member*>& members) {
  const size_t winner =
      core::RendezvousWinner(core::StableHash(thing), ToCandidates(members));
  return winner == members.size() ? nullptr : members[winner];
}

}  // namespace

MemberTable::MemberTable(std::vector<Member> members)
    : members_(std::move(members)) {
  std::erase_if(members_, [](const Member& member) {
    return member.state == MemberState::kGone;
  });
  std::sort(members_.begin(), members_.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
}

const Member* MemberTable::Find(const core::HostId& id) const {
  const auto it =
      std::lower_bound(members_.begin(), members_.end(), id,
                       [](const Member& member, const core::HostId& key) {
                         return member.id < key;
                       });
  return it != members_.end() && it->id == id ? &*it : nullptr;
}

bool MemberTable::HasIp(uint32_t ip) const {
  return std::any_of(members_.begin(), members_.end(),
                     [ip](const Member& member) {
                       return member.gossip_address.ip() == ip ||
                              member.link_address.ip() == ip;
                     });
}

const Member* MemberTable::OwnerOf(std::string_view thing,
                                   MemberRole role) const {
  return RendezvousOwner(thing, SelectOwnerCandidates(members_, role));
}

const Member* MemberTable::OwnerInDataCentre(
    std::string_view thing,
    MemberRole role,
    const core::DataCentreId& data_centre) const {
  return RendezvousOwner(thing, Select(members_, [&](const Member& member) {
                           return CanOwn(member, role) &&
                                  member.data_centre == data_centre;
                         }));
}

std::vector<const Member*> MemberTable::RankedOwners(std::string_view thing,
                                                     MemberRole role) const {
  const std::vector<const Member*> members =
      SelectOwnerCandidates(members_, role);
  std::vector<const Member*> ordered;
  ordered.reserve(members.size());
  for (const size_t index :
       core::RendezvousOrder(core::StableHash(thing), ToCandidates(members))) {
    ordered.push_back(members[index]);
  }
  return ordered;
}

}  // namespace wasabi::membership
