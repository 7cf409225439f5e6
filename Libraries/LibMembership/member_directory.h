// Stores one daemon's knowledge of the fleet, namely the latest record of each
// member including members that are gone, and merges updates into it.

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

// Number of parts into which members are hashed for comparison by digest.
constexpr size_t kDigestParts = 32;

// The effect of an update on the directory.
enum class MergeResult : uint8_t {
  // The update contained nothing new.
  kStale,
  // Only the applied offset or the incarnation has changed.
  kRefreshed,
  // The state has changed, or the member is new or has restarted.
  kChanged,
  // The update refers to a member or a generation for which the directory has
  // no record. Nothing was changed.
  kRecordMissing,
};

class MemberDirectory {
 public:
  // Merges an update. Merging is commutative and idempotent: the update with
  // the higher incarnation wins; for equal incarnations, the higher state and
  // the higher offset win independently.
  MergeResult Merge(const Member& record, core::TimePoint now);
  MergeResult Merge(const MemberStatus& status, core::TimePoint now);

  // Return the member, which may be gone, or nullptr if there is no record. The
  // pointer is invalidated when the record is removed.
  const Member* Find(uint64_t id_hash) const;
  const Member* FindByAddress(const core::SocketAddress& address) const;

  // Returns true if a member uses this IP address, including members that are
  // gone and not yet removed.
  bool HasIp(uint32_t ip) const { return ips_.contains(ip); }

  // Returns the id hashes of all members that are not gone, in no particular
  // order.
  const std::vector<uint64_t>& present() const { return present_; }

  // Returns the id hashes of members that are gone and not yet removed.
  std::vector<uint64_t> GoneMembers() const;

  // Removes the records of members that have been gone for longer than `age`.
  void SweepGone(core::Duration age, core::TimePoint now);

  // Returns one digest per part. Digests cover only members that are not gone.
  const std::vector<uint32_t>& Digests() const { return digests_; }
  static size_t PartOf(uint64_t id_hash) { return id_hash % kDigestParts; }

  // Returns all records in a part, including those of members that are gone.
  std::vector<const Member*> RecordsIn(size_t part) const;

  // Returns an immutable snapshot, which is shared until the next change.
  MemberTableSnapshot Table() const;

 private:
  struct Entry {
    Member member;
    // Time of the last state change, which is meaningful only in state kGone.
    core::TimePoint gone_since{};
  };

  // An ordered map makes simulations reproducible from their seed.
  using Part = std::map<uint64_t, Entry>;

  Part& PartFor(uint64_t id_hash) { return parts_[PartOf(id_hash)]; }
  Entry* FindEntry(uint64_t id_hash);
  // Adds the member to the digest of its part, or removes it if it was added
  // before. Members that are gone are ignored.
  void ToggleDigest(const Member& member, uint64_t id_hash);
  MergeResult MergeStatus(Entry* entry,
                          const MemberStatus& status,
                          core::TimePoint now);
  // Updates the list of present members and the count of gone members after a
  // state change.
  void UpdatePresence(uint64_t id_hash, MemberState before, MemberState after);
  void AddIndexes(const Member& member);
  void RebuildIndexes();

  std::array<Part, kDigestParts> parts_;
  std::vector<uint32_t> digests_ = std::vector<uint32_t>(kDigestParts);
  size_t gone_count_ = 0;
  absl::flat_hash_map<core::SocketAddress, uint64_t> by_address_;
  absl::flat_hash_set<uint32_t> ips_;
  std::vector<uint64_t> present_;
  // Cached snapshot; nullptr after a change.
  mutable MemberTableSnapshot table_;
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_MEMBER_DIRECTORY_H_
