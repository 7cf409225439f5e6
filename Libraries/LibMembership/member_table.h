// An immutable view of the fleet, and the ownership that follows from it.

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

  // All known members, sorted by id; those that are gone are left out.
  const std::vector<Member>& members() const { return members_; }

  // The member `id`, or nullptr.
  const Member* Find(const core::HostId& id) const;

  // True when a member that is not gone uses this IP number.
  bool HasIp(uint32_t ip) const;

  // The member that owns `thing` (a runner, a ledger partition, …) by
  // rendezvous hashing over the members of `role` that are alive or suspect,
  // over those that are leaving where there are no others, or nullptr. Hosts
  // may disagree for seconds.
  const Member* OwnerOf(std::string_view thing, MemberRole role) const;

  // As OwnerOf, among the members of one data centre.
  const Member* OwnerWithin(std::string_view thing,
                            MemberRole role,
                            const core::DataCentreId& data_centre) const;

  // All candidates for `thing`, the owner first.
  std::vector<const Member*> OwnersInOrder(std::string_view thing,
                                           MemberRole role) const;

 private:
  std::vector<Member> members_;
};

using MemberTableView = std::shared_ptr<const MemberTable>;

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_MEMBER_TABLE_H_
