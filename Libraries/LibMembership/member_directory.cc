#include "LibMembership/member_directory.h"

#include <algorithm>
#include <utility>

#include "LibCore/hash.h"

namespace wasabi::membership {

namespace {

uint64_t DigestOf(const Member& member, uint64_t id_hash) {
  const uint64_t status = core::CombineHashes(
      member.incarnation,
      core::CombineHashes(static_cast<uint64_t>(member.state),
                          static_cast<uint64_t>(member.applied_offset)));
  return core::CombineHashes(id_hash, status);
}

}  // namespace

MergeResult MemberDirectory::Merge(const Member& record, core::TimePoint now) {
  const uint64_t id_hash = record.id.Hash();
  Entry* entry = FindEntry(id_hash);
  if (entry == nullptr) {
    entry = &PartFor(id_hash)[id_hash];
    entry->member.state = MemberState::kGone;
    ++gone_count_;
  } else if (GenerationOf(record.incarnation) <=
             GenerationOf(entry->member.incarnation)) {
    return MergeStatus(entry, StatusOf(record), now);
  }
  const MemberState before = entry->member.state;
  ToggleDigest(entry->member, id_hash);
  *entry = Entry{record, now};
  ToggleDigest(record, id_hash);
  AddIndexes(record);
  UpdatePresence(id_hash, before, record.state);
  return MergeResult::kChanged;
}

MergeResult MemberDirectory::Merge(const MemberStatus& status,
                                   core::TimePoint now) {
  Entry* entry = FindEntry(status.id_hash);
  if (entry == nullptr) {
    // Fetching the record of a member that is already gone would be useless.
    return status.state == MemberState::kGone ? MergeResult::kStale
                                              : MergeResult::kRecordMissing;
  }
  if (GenerationOf(status.incarnation) >
      GenerationOf(entry->member.incarnation)) {
    return MergeResult::kRecordMissing;
  }
  return MergeStatus(entry, status, now);
}

MergeResult MemberDirectory::MergeStatus(Entry* entry,
                                         const MemberStatus& status,
                                         core::TimePoint now) {
  Member merged = entry->member;
  if (status.incarnation < merged.incarnation) {
    return MergeResult::kStale;
  }
  if (status.incarnation > merged.incarnation) {
    merged.incarnation = status.incarnation;
    merged.state = status.state;
    merged.applied_offset = status.applied_offset;
  } else {
    merged.state = std::max(merged.state, status.state);
    merged.applied_offset =
        std::max(merged.applied_offset, status.applied_offset);
  }
  if (merged == entry->member) {
    return MergeResult::kStale;
  }
  const MemberState before = entry->member.state;
  ToggleDigest(entry->member, status.id_hash);
  ToggleDigest(merged, status.id_hash);
  entry->member = std::move(merged);
  table_.reset();
  if (before == entry->member.state) {
    return MergeResult::kRefreshed;
  }
  entry->gone_since = now;
  UpdatePresence(status.id_hash, before, entry->member.state);
  return MergeResult::kChanged;
}

void MemberDirectory::UpdatePresence(uint64_t id_hash,
                                     MemberState before,
                                     MemberState after) {
  table_.reset();
  const bool was_present = before != MemberState::kGone;
  const bool is_present = after != MemberState::kGone;
  if (was_present && !is_present) {
    std::erase(present_, id_hash);
    ++gone_count_;
  } else if (!was_present && is_present) {
    present_.push_back(id_hash);
    --gone_count_;
  }
}

void MemberDirectory::AddIndexes(const Member& member) {
  by_address_[member.gossip_address] = member.id.Hash();
  ips_.insert(member.gossip_address.ip());
  ips_.insert(member.link_address.ip());
}

void MemberDirectory::RebuildIndexes() {
  by_address_.clear();
  ips_.clear();
  for (const Part& part : parts_) {
    for (const auto& [id_hash, entry] : part) {
      AddIndexes(entry.member);
    }
  }
}

const Member* MemberDirectory::Find(uint64_t id_hash) const {
  const Part& part = parts_[PartOf(id_hash)];
  const auto it = part.find(id_hash);
  return it == part.end() ? nullptr : &it->second.member;
}

MemberDirectory::Entry* MemberDirectory::FindEntry(uint64_t id_hash) {
  Part& part = PartFor(id_hash);
  const auto it = part.find(id_hash);
  return it == part.end() ? nullptr : &it->second;
}

void MemberDirectory::ToggleDigest(const Member& member, uint64_t id_hash) {
  if (member.state != MemberState::kGone) {
    digests_[PartOf(id_hash)] ^=
        static_cast<uint32_t>(DigestOf(member, id_hash));
  }
}

const Member* MemberDirectory::FindByAddress(
    const core::SocketAddress& address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? nullptr : Find(it->second);
}

std::vector<uint64_t> MemberDirectory::GoneMembers() const {
  std::vector<uint64_t> gone;
  if (gone_count_ == 0) {
    return gone;
  }
  for (const Part& part : parts_) {
    for (const auto& [id_hash, entry] : part) {
      if (entry.member.state == MemberState::kGone) {
        gone.push_back(id_hash);
      }
    }
  }
  return gone;
}

void MemberDirectory::SweepGone(core::Duration age, core::TimePoint now) {
  if (gone_count_ == 0) {
    return;
  }
  size_t forgotten = 0;
  for (Part& part : parts_) {
    forgotten += std::erase_if(part, [&](const auto& it) {
      return it.second.member.state == MemberState::kGone &&
             now - it.second.gone_since > age;
    });
  }
  gone_count_ -= forgotten;
  if (forgotten > 0) {
    RebuildIndexes();
  }
}

std::vector<const Member*> MemberDirectory::RecordsIn(size_t part) const {
  std::vector<const Member*> records;
  for (const auto& [id_hash, entry] : parts_[part]) {
    records.push_back(&entry.member);
  }
  return records;
}

MemberTableSnapshot MemberDirectory::Table() const {
  if (table_ == nullptr) {
    std::vector<Member> members;
    members.reserve(present_.size());
    for (const uint64_t id_hash : present_) {
      members.push_back(*Find(id_hash));
    }
    table_ = std::make_shared<const MemberTable>(std::move(members));
  }
  return table_;
}

}  // namespace wasabi::membership
