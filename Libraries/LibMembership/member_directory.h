// All that one daemon knows about the fleet: the newest record of each member,
// records of members that are gone, and the rules for merging news.

#ifndef LIBMEMBERSHIP_MEMBER_DIRECTORY_H_
#define LIBMEMBERSHIP_MEMBER_DIRECTORY_H_

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "LibCore/time.h"
#include "LibMembership/gossip_message.h"
#include "LibMembership/member.h"
#include "LibMembership/member_table.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace wasabi::membership {

// Parts of the table that are compared by digest.
constexpr size_t kDigestParts = 32;

// What a piece of news did to the directory.
enum class MergeResult : uint8_t {
  // Nothing new.
  kStale,
  // Only the applied offset or the incarnation changed.
  kRefreshed,
  // The state changed, or the member is new or restarted.
  kChanged,
  // The news is about a member or a generation without a record here.
  kRecordMissing,
};

class MemberDirectory {
 public:
  // Merging is commutative and idempotent: the higher incarnation wins; at
  // equal ones the higher state and the higher offset.
  MergeResult Merge(const Member& record, core::TimePoint now);
  MergeResult Merge(const MemberStatus& status, core::TimePoint now);

  // The member, also when it is gone; nullptr where there is no record.
  const Member* Find(uint64_t id_hash) const;
  const Member* FindByAddress(const core::SocketAddress& address) const;

  // True when a member uses this IP number or did until lately.
  bool HasIp(uint32_t ip) const { return ips_.contains(ip); }

  // Id hashes of the members that are not gone, in no particular order.
  const std::vector<uint64_t>& present() const { return present_; }

  // Id hashes of the members that are gone and not yet forgotten.
  std::vector<uint64_t> Gone() const;

  // Forgets members that have been gone for longer than `age`.
  void ForgetGone(core::Duration age, core::TimePoint now);

  // One digest per part of the members that are not gone.
  const std::vector<uint32_t>& Digests() const { return digests_; }
  static size_t PartOf(uint64_t id_hash) { return id_hash % kDigestParts; }

  // All records in a part, those of gone members too.
  std::vector<const Member*> RecordsIn(size_t part) const;

  // An immutable copy; the same one as long as nothing changed.
  MemberTableView Table() const;

 private:
  struct Entry {
    Member member;
    core::TimePoint gone_since{};
  };

  // Ordered, so that a run in virtual time can be repeated from its seed.
  using Part = std::map<uint64_t, Entry>;

  Part& PartFor(uint64_t id_hash) { return parts_[PartOf(id_hash)]; }
  Entry* FindEntry(uint64_t id_hash);
  // Adds the member to the digest of its part, or takes it out again.
  void ToggleDigest(const Member& member, uint64_t id_hash);
  MergeResult MergeStatus(Entry* entry,
                          const MemberStatus& status,
                          core::TimePoint now);
  void NoteStateChange(uint64_t id_hash, MemberState before, MemberState after);
  void AddIndexes(const Member& member);
  void RebuildIndexes();

  std::array<Part, kDigestParts> parts_;
  std::vector<uint32_t> digests_ = std::vector<uint32_t>(kDigestParts);
  size_t gone_count_ = 0;
  absl::flat_hash_map<core::SocketAddress, uint64_t> by_address_;
  absl::flat_hash_set<uint32_t> ips_;
  std::vector<uint64_t> present_;
  mutable MemberTableView table_;
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_MEMBER_DIRECTORY_H_
