// Tests which members are eligible as owners, depending on their states.

#include "LibMembership/member_table.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace wasabi::membership {
namespace {

Member MakeMember(const std::string& id, MemberRole role, MemberState state) {
  Member member;
  member.id = core::HostId(id);
  member.role = role;
  member.state = state;
  return member;
}

TEST_CASE("leaving members are owners only if no other member is eligible") {
  struct Case {
    MemberState first;
    MemberState second;
    size_t owners;
  };
  const auto it =
      GENERATE(values<Case>({{MemberState::kAlive, MemberState::kSuspect, 2},
                             {MemberState::kAlive, MemberState::kLeaving, 1},
                             {MemberState::kSuspect, MemberState::kLeaving, 1},
                             {MemberState::kLeaving, MemberState::kLeaving, 2},
                             {MemberState::kLeaving, MemberState::kGone, 1},
                             {MemberState::kGone, MemberState::kGone, 0}}));
  const MemberTable table(
      {MakeMember("first", MemberRole::kRouter, it.first),
       MakeMember("second", MemberRole::kRouter, it.second),
       MakeMember("control", MemberRole::kControl, MemberState::kAlive)});
  const auto order = table.RankedOwners("runner/1", MemberRole::kRouter);
  CHECK(order.size() == it.owners);
  const Member* owner = table.OwnerOf("runner/1", MemberRole::kRouter);
  CHECK(owner == (order.empty() ? nullptr : order.front()));
}

}  // namespace
}  // namespace wasabi::membership
