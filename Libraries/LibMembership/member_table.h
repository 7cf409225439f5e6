// An immutable snapshot of the members of the fleet. It assigns owners to
// resources by rendezvous hashing.

#ifndef LIBMEMBERSHIP_MEMBER_TABLE_H_
#define LIBMEMBERSHIP_MEMBER_TABLE_H_

#include <memory>
#include <string_view>
#include <vector>

#include "LibMembership/member.h"

namespace wasabi::membership {

class MemberTable {
 public:
  MemberTable() = default;
  explicit MemberTable(std::vector<Member> members);

  // Returns all members that are not gone, sorted by id.
  const std::vector<Member>& members() const { return members_; }

  // Returns the member `id`, or nullptr if it is unknown or gone.
  const Member* Find(const core::HostId& id) const;

  // Returns true if a member that is not gone uses this IP address.
  bool HasIp(uint32_t ip) const;

  // Returns the owner of the resource named `thing` (a runner, a ledger
  // partition, …), determined by rendezvous hashing over the alive and suspect
  // members of `role`. If there are none, leaving members are considered.
  // Returns nullptr if there is no candidate. Hosts may disagree on the owner
  // for seconds while their tables differ.
  const Member* OwnerOf(std::string_view thing, MemberRole role) const;

  // Like OwnerOf, but considers only alive and suspect members in one data
  // centre.
  const Member* OwnerInDataCentre(std::string_view thing,
                                  MemberRole role,
                                  const core::DataCentreId& data_centre) const;

  // Returns all candidates for `thing` in order of preference. The owner is the
  // first.
  std::vector<const Member*> RankedOwners(std::string_view thing,
                                          MemberRole role) const;

 private:
  std::vector<Member> members_;
};

// A shared snapshot that stays valid when the membership changes.
using MemberTableSnapshot = std::shared_ptr<const MemberTable>;

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_MEMBER_TABLE_H_
