#include "LibMembership/member_directory.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "LibCore/random_source.h"

namespace wasabi::membership {
namespace {

Member MakeMember(uint64_t incarnation, MemberState state, int64_t offset) {
  Member member;
  member.id = core::HostId("entry-1");
  member.incarnation = incarnation;
  member.state = state;
  member.applied_offset = offset;
  return member;
}

TEST_CASE("the merge result does not depend on the order of updates") {
  constexpr int kUpdates = 12;
  const auto seed = GENERATE(range(uint64_t{1}, uint64_t{500}));
  core::RandomSource random(seed);
  std::vector<Member> news;
  for (int i = 0; i < kUpdates; ++i) {
    news.push_back(MakeMember(FirstIncarnation(1) + random.Below(3),
                              static_cast<MemberState>(random.Below(4)),
                              static_cast<int64_t>(random.Below(5))));
  }
  MemberDirectory first;
  for (const Member& it : news) {
    first.Merge(it, core::TimePoint());
  }
  for (size_t i = news.size(); i > 1; --i) {
    std::swap(news[i - 1], news[random.Below(i)]);
  }
  MemberDirectory second;
  for (const Member& it : news) {
    second.Merge(it, core::TimePoint());
    CHECK(second.Merge(StatusOf(it), core::TimePoint()) == MergeResult::kStale);
  }
  const uint64_t id_hash = news.front().id.Hash();
  CHECK(*first.Find(id_hash) == *second.Find(id_hash));
  CHECK(first.Digests() == second.Digests());
}

TEST_CASE("merging a status returns its effect and updates the state") {
  constexpr uint64_t kFirst = FirstIncarnation(2);
  struct Case {
    MemberStatus status;
    MergeResult result;
    MemberState state;
  };
  const uint64_t id_hash = core::HostId("entry-1").Hash();
  const auto it =
      GENERATE_REF(Case{{id_hash, kFirst, MemberState::kAlive, 5},
                        MergeResult::kStale,
                        MemberState::kAlive},
                   Case{{id_hash, kFirst, MemberState::kAlive, 6},
                        MergeResult::kRefreshed,
                        MemberState::kAlive},
                   Case{{id_hash, kFirst, MemberState::kSuspect, 0},
                        MergeResult::kChanged,
                        MemberState::kSuspect},
                   Case{{id_hash, kFirst - 1, MemberState::kGone, 9},
                        MergeResult::kStale,
                        MemberState::kAlive},
                   Case{{id_hash, FirstIncarnation(3), MemberState::kAlive, 9},
                        MergeResult::kRecordMissing,
                        MemberState::kAlive},
                   Case{{id_hash + 1, kFirst, MemberState::kAlive, 9},
                        MergeResult::kRecordMissing,
                        MemberState::kAlive});
  MemberDirectory directory;
  directory.Merge(MakeMember(kFirst, MemberState::kAlive, 5),
                  core::TimePoint());
  CHECK(directory.Merge(it.status, core::TimePoint()) == it.result);
  CHECK(directory.Find(id_hash)->state == it.state);
}

TEST_CASE("records of gone members are kept for a limited time") {
  MemberDirectory directory;
  const core::TimePoint start(core::seconds(100));
  Member member = MakeMember(1, MemberState::kAlive, 0);
  member.gossip_address = core::SocketAddress::Parse("10.0.0.1:7000").value();
  directory.Merge(member, start);
  member.state = MemberState::kGone;
  directory.Merge(member, start);
  CHECK(directory.present().empty());
  CHECK(directory.Table()->members().empty());
  directory.SweepGone(core::seconds(10), start + core::seconds(10));
  CHECK(directory.HasIp(member.gossip_address.ip()));
  directory.SweepGone(core::seconds(10), start + core::seconds(11));
  CHECK_FALSE(directory.HasIp(member.gossip_address.ip()));
  CHECK(directory.Find(member.id.Hash()) == nullptr);
}

}  // namespace
}  // namespace wasabi::membership
