#include "LibRouting/quarantine_table.h"

#include <algorithm>
#include <utility>

#include "LibCore/hash.h"

namespace wasabi::routing {

namespace {

// A digest that was in flight at this many crashes, and has not completed
// since, is refused.
constexpr size_t kCrashesUntilRefused = 2;

std::vector<uint64_t> Sorted(const absl::flat_hash_set<uint64_t>& set) {
  std::vector<uint64_t> sorted(set.begin(), set.end());
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

}  // namespace

uint64_t MakeCrashId(const core::RunnerId& runner, uint64_t incarnation) {
  return core::CombineHashes(runner.Hash(), incarnation);
}

QuarantineTable::QuarantineTable(const QuarantinePolicy& policy)
    : policy_(policy) {}

void QuarantineTable::RecordCrash(uint64_t crash_id,
                                  const std::vector<uint64_t>& digests,
                                  core::TimePoint now) {
  Crash* crash = FindOrAdd(crash_id, now, now);
  if (crash == nullptr) {
    return;
  }
  for (const uint64_t it : digests) {
    AddDigest(crash_id, *crash, it);
  }
}

bool QuarantineTable::RecordCompletion(uint64_t digest) {
  const auto it = uncleared_crashes_.find(digest);
  if (it == uncleared_crashes_.end()) {
    return false;
  }
  const absl::flat_hash_set<uint64_t> crash_ids = it->second;
  for (const uint64_t crash_id : crash_ids) {
    ClearDigest(crash_id, crashes_.at(crash_id), digest);
  }
  return true;
}

QuarantineVerdict QuarantineTable::VerdictFor(uint64_t digest,
                                              core::TimePoint now) const {
  const size_t crashes = FindActiveCrashes(digest, now).size();
  if (crashes >= kCrashesUntilRefused) {
    return QuarantineVerdict::kRefuse;
  }
  return crashes == 0 ? QuarantineVerdict::kClear
                      : QuarantineVerdict::kRunAlone;
}

core::Duration QuarantineTable::RetryAfter(uint64_t digest,
                                           core::TimePoint now) const {
  std::vector<core::TimePoint> times;
  for (const Crash* it : FindActiveCrashes(digest, now)) {
    times.push_back(it->time);
  }
  if (times.size() < kCrashesUntilRefused) {
    return core::Duration::zero();
  }
  // The digest is admitted again once fewer than kCrashesUntilRefused of its
  // crashes are unexpired.
  std::sort(times.begin(), times.end());
  return times[times.size() - kCrashesUntilRefused] + policy_.lifetime - now;
}

bool QuarantineTable::Merge(const QuarantineDelta& delta, core::TimePoint now) {
  bool is_new = false;
  for (const CrashRecord& record : delta.crashes) {
    const core::Duration age =
        core::milliseconds(std::max<int64_t>(0, record.age_milliseconds));
    Crash* crash = FindOrAdd(record.crash_id, now - age, now);
    if (crash == nullptr) {
      continue;
    }
    for (const uint64_t it : record.digests) {
      is_new |= AddDigest(record.crash_id, *crash, it);
    }
    for (const uint64_t it : record.cleared) {
      is_new |= ClearDigest(record.crash_id, *crash, it);
    }
  }
  return is_new;
}

QuarantineDelta QuarantineTable::TakeDelta(core::TimePoint now) {
  QuarantineDelta delta;
  for (const uint64_t crash_id : Sorted(changed_)) {
    delta.crashes.push_back(ToRecord(crash_id, crashes_.at(crash_id), now));
  }
  changed_.clear();
  return delta;
}

QuarantineDelta QuarantineTable::Snapshot(core::TimePoint now) const {
  QuarantineDelta snapshot;
  for (const auto& [crash_id, crash] : crashes_) {
    snapshot.crashes.push_back(ToRecord(crash_id, crash, now));
  }
  std::sort(snapshot.crashes.begin(), snapshot.crashes.end());
  return snapshot;
}

void QuarantineTable::Expire(core::TimePoint now) {
  std::vector<uint64_t> expired;
  for (const auto& [crash_id, crash] : crashes_) {
    if (!IsActive(crash, now)) {
      expired.push_back(crash_id);
    }
  }
  for (const uint64_t it : expired) {
    Drop(it);
  }
}

// Returns the crash with this id, adding it if necessary, or nullptr if an
// unknown crash has already expired.
QuarantineTable::Crash* QuarantineTable::FindOrAdd(uint64_t crash_id,
                                                   core::TimePoint time,
                                                   core::TimePoint now) {
  const auto it = crashes_.find(crash_id);
  if (it != crashes_.end()) {
    return &it->second;
  }
  if (now - time >= policy_.lifetime) {
    return nullptr;
  }
  if (crashes_.size() >= policy_.max_crashes) {
    DropOldest();
  }
  Crash& crash = crashes_[crash_id];
  crash.time = time;
  changed_.insert(crash_id);
  return &crash;
}

bool QuarantineTable::AddDigest(uint64_t crash_id,
                                Crash& crash,
                                uint64_t digest) {
  if (!crash.digests.insert(digest).second) {
    return false;
  }
  if (!crash.cleared.contains(digest)) {
    uncleared_crashes_[digest].insert(crash_id);
  }
  changed_.insert(crash_id);
  return true;
}

bool QuarantineTable::ClearDigest(uint64_t crash_id,
                                  Crash& crash,
                                  uint64_t digest) {
  if (!crash.cleared.insert(digest).second) {
    return false;
  }
  const auto it = uncleared_crashes_.find(digest);
  if (it != uncleared_crashes_.end()) {
    it->second.erase(crash_id);
    if (it->second.empty()) {
      uncleared_crashes_.erase(it);
    }
  }
  changed_.insert(crash_id);
  return true;
}

void QuarantineTable::Drop(uint64_t crash_id) {
  const auto node = crashes_.extract(crash_id);
  for (const uint64_t digest : node.mapped().digests) {
    const auto it = uncleared_crashes_.find(digest);
    if (it == uncleared_crashes_.end()) {
      continue;
    }
    it->second.erase(crash_id);
    if (it->second.empty()) {
      uncleared_crashes_.erase(it);
    }
  }
  changed_.erase(crash_id);
}

void QuarantineTable::DropOldest() {
  const auto oldest = std::min_element(
      crashes_.begin(), crashes_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.time, a.first) <
               std::pair(b.second.time, b.first);
      });
  if (oldest != crashes_.end()) {
    Drop(oldest->first);
  }
}

bool QuarantineTable::IsActive(const Crash& crash, core::TimePoint now) const {
  return now - crash.time < policy_.lifetime;
}

std::vector<const QuarantineTable::Crash*> QuarantineTable::FindActiveCrashes(
    uint64_t digest,
    core::TimePoint now) const {
  std::vector<const Crash*> crashes;
  const auto it = uncleared_crashes_.find(digest);
  if (it == uncleared_crashes_.end()) {
    return crashes;
  }
  for (const uint64_t crash_id : it->second) {
    const Crash& crash = crashes_.at(crash_id);
    if (IsActive(crash, now)) {
      crashes.push_back(&crash);
    }
  }
  return crashes;
}

CrashRecord QuarantineTable::ToRecord(uint64_t crash_id,
                                      const Crash& crash,
                                      core::TimePoint now) const {
  CrashRecord record;
  record.crash_id = crash_id;
  record.age_milliseconds = core::ToMilliseconds(now - crash.time);
  record.digests = Sorted(crash.digests);
  record.cleared = Sorted(crash.cleared);
  return record;
}

}  // namespace wasabi::routing
