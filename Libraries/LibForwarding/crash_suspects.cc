#include "LibForwarding/crash_suspects.h"

#include <algorithm>
#include <tuple>

#include "LibCore/hash.h"

namespace wasabi::forwarding {

namespace {

// Maximum number of suspects that are known to have completed, half of it
// since the last turn of the set.
constexpr size_t kMaxKnown = 16384;
// A suspect of a single crash is repeated to other hosts for this long.
constexpr core::Duration kMaxSingleAge = core::seconds(15);

// Returns the suspects of one request.
std::vector<Suspect> SuspectsOf(const RequestFingerprint& request) {
  std::vector<Suspect> suspects;
  suspects.reserve(request.parts.size() + 1);
  for (const uint64_t it : request.parts) {
    suspects.push_back({.kind = SuspectKind::kPart, .id = it});
  }
  suspects.push_back({.kind = SuspectKind::kContent, .id = request.content});
  return suspects;
}

std::vector<Suspect> SuspectsIn(const SuspectIds& ids) {
  std::vector<Suspect> suspects;
  suspects.reserve(ids.size());
  for (const uint64_t it : ids.parts) {
    suspects.push_back({.kind = SuspectKind::kPart, .id = it});
  }
  for (const uint64_t it : ids.contents) {
    suspects.push_back({.kind = SuspectKind::kContent, .id = it});
  }
  return suspects;
}

uint64_t KnownKeyOf(const Suspect& suspect) {
  return core::CombineHashes(static_cast<uint64_t>(suspect.kind), suspect.id);
}

}  // namespace

CrashSuspects::CrashSuspects(const CrashSuspectsPolicy& policy)
    : policy_(policy), known_(policy.known_lifetime, kMaxKnown / 2) {}

void CrashSuspects::RecordCrash(uint64_t crash_id,
                                const std::vector<RequestFingerprint>& requests,
                                core::TimePoint now) {
  Crash* crash = FindOrAdd(crash_id, now, now);
  if (crash == nullptr) {
    return;
  }
  for (const RequestFingerprint& request : requests) {
    for (const Suspect& it : SuspectsOf(request)) {
      Evidence* evidence = FindOrAddEvidence(crash_id, *crash, it);
      if (evidence != nullptr && !evidence->is_shared) {
        evidence->is_changed = true;
        crash->has_changes = true;
      }
    }
  }
}

void CrashSuspects::RecordCompletion(const RequestFingerprint& request,
                                     core::TimePoint now) {
  for (const Suspect& it : SuspectsOf(request)) {
    known_.Add(KnownKeyOf(it), now);
    ClearEverywhere(it);
  }
}

void CrashSuspects::ClearEverywhere(Suspect suspect) {
  const auto it = open_crashes_.find(suspect);
  if (it == open_crashes_.end()) {
    return;
  }
  const absl::flat_hash_set<uint64_t> crash_ids = it->second;
  for (const uint64_t crash_id : crash_ids) {
    Crash& crash = crashes_.at(crash_id);
    Clear(crash_id, crash, suspect);
    // What no other host has heard of needs no clearing there.
    Evidence& evidence = crash.suspects.at(suspect);
    evidence.is_changed = evidence.is_shared;
    crash.has_changes = true;
  }
}

void CrashSuspects::Clear(uint64_t crash_id, Crash& crash, Suspect suspect) {
  crash.suspects.at(suspect).is_cleared = true;
  RemoveOpen(crash_id, suspect);
}

std::vector<CrashReport> CrashSuspects::TakeChanges(core::TimePoint now) {
  std::vector<CrashReport> reports;
  for (auto& [crash_id, crash] : crashes_) {
    if (!std::exchange(crash.has_changes, false)) {
      continue;
    }
    CrashReport report{
        .crash_id = crash_id,
        .age_milliseconds = core::ToMilliseconds(now - crash.time),
        .in_flight = {},
        .cleared = {}};
    for (auto& [suspect, evidence] : crash.suspects) {
      if (!std::exchange(evidence.is_changed, false)) {
        continue;
      }
      evidence.is_shared = true;
      (evidence.is_cleared ? report.cleared : report.in_flight).Add(suspect);
    }
    if (report.in_flight.size() + report.cleared.size() > 0) {
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

void CrashSuspects::MergeReport(const CrashReport& report,
                                bool relays,
                                core::TimePoint now) {
  const core::Duration age =
      core::milliseconds(std::max<int64_t>(0, report.age_milliseconds));
  Crash* crash = FindOrAdd(report.crash_id, now - age, now);
  if (crash == nullptr) {
    return;
  }
  const auto mark = [&](Evidence* evidence, bool is_changed) {
    evidence->is_shared = true;
    evidence->is_changed = evidence->is_changed || is_changed;
    crash->has_changes = crash->has_changes || is_changed;
  };
  for (const Suspect& it : SuspectsIn(report.in_flight)) {
    const bool is_new = !crash->suspects.contains(it);
    Evidence* evidence = FindOrAddEvidence(report.crash_id, *crash, it);
    if (evidence != nullptr) {
      // The sender does not know that the suspect has been cleared.
      mark(evidence, evidence->is_cleared || (is_new && relays));
    }
  }
  for (const Suspect& it : SuspectsIn(report.cleared)) {
    Evidence* evidence = FindOrAddEvidence(report.crash_id, *crash, it);
    if (evidence != nullptr) {
      mark(evidence, relays && !evidence->is_cleared);
      Clear(report.crash_id, *crash, it);
    }
  }
}

std::vector<CrashReport> CrashSuspects::OpenSuspects(
    size_t max_ids,
    uint64_t salt,
    core::TimePoint now) const {
  struct Item {
    size_t crashes = 0;
    uint64_t order = 0;
    Suspect suspect;
  };
  std::vector<Item> items;
  for (const auto& [suspect, crash_ids] : open_crashes_) {
    const core::Duration age = now - crashes_.at(*crash_ids.begin()).time;
    if (crash_ids.size() > 1 || age < kMaxSingleAge) {
      items.push_back({.crashes = crash_ids.size(),
                       .order = core::CombineHashes(salt, KnownKeyOf(suspect)),
                       .suspect = suspect});
    }
  }
  std::sort(items.begin(), items.end(), [](const Item& a, const Item& b) {
    return std::tuple(b.crashes, b.suspect.kind, a.order) <
           std::tuple(a.crashes, a.suspect.kind, b.order);
  });
  absl::flat_hash_map<uint64_t, CrashReport> reports;
  size_t ids = 0;
  for (const Item& it : items) {
    const auto& crash_ids = open_crashes_.at(it.suspect);
    ids += crash_ids.size();
    if (ids > max_ids) {
      break;
    }
    for (const uint64_t crash_id : crash_ids) {
      CrashReport& report = reports[crash_id];
      report.crash_id = crash_id;
      report.age_milliseconds =
          core::ToMilliseconds(now - crashes_.at(crash_id).time);
      report.in_flight.Add(it.suspect);
    }
  }
  std::vector<CrashReport> sorted;
  sorted.reserve(reports.size());
  for (auto& [crash_id, report] : reports) {
    sorted.push_back(std::move(report));
  }
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

void CrashSuspects::Expire(core::TimePoint now) {
  std::vector<uint64_t> expired;
  for (const auto& [crash_id, crash] : crashes_) {
    if (now - crash.time >= policy_.lifetime) {
      expired.push_back(crash_id);
    }
  }
  for (const uint64_t it : expired) {
    Drop(it);
  }
}

CrashSuspects::Crash* CrashSuspects::FindOrAdd(uint64_t crash_id,
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
  last_crash_at_ = std::max(last_crash_at_.value_or(time), time);
  return &crash;
}

CrashSuspects::Evidence* CrashSuspects::FindOrAddEvidence(uint64_t crash_id,
                                                          Crash& crash,
                                                          Suspect suspect) {
  const auto it = crash.suspects.find(suspect);
  if (it != crash.suspects.end()) {
    return &it->second;
  }
  if (crash.suspects.size() >= policy_.max_suspects) {
    return nullptr;
  }
  open_crashes_[suspect].insert(crash_id);
  is_stale_ = true;
  return &crash.suspects[suspect];
}

void CrashSuspects::RemoveOpen(uint64_t crash_id, Suspect suspect) {
  const auto it = open_crashes_.find(suspect);
  if (it == open_crashes_.end()) {
    return;
  }
  it->second.erase(crash_id);
  if (it->second.empty()) {
    open_crashes_.erase(it);
  }
  is_stale_ = true;
}

void CrashSuspects::Drop(uint64_t crash_id) {
  const auto node = crashes_.extract(crash_id);
  for (const auto& [suspect, evidence] : node.mapped().suspects) {
    RemoveOpen(crash_id, suspect);
  }
}

void CrashSuspects::DropOldest() {
  const auto oldest = std::min_element(
      crashes_.begin(), crashes_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.time, a.first) <
               std::pair(b.second.time, b.first);
      });
  if (oldest != crashes_.end()) {
    Drop(oldest->first);
  }
}

bool CrashSuspects::IsRefused(const RequestFingerprint& request,
                              core::TimePoint now) {
  Judge(now);
  if (refused_contents_.contains(request.content)) {
    return true;
  }
  return std::any_of(refused_parts_.begin(), refused_parts_.end(),
                     [&request](const RefusedParts& it) {
                       return std::includes(request.parts.begin(),
                                            request.parts.end(),
                                            it.parts.begin(), it.parts.end());
                     });
}

const std::vector<RefusedParts>& CrashSuspects::refused_parts(
    core::TimePoint now) {
  Judge(now);
  return refused_parts_;
}

std::vector<PartBlame> CrashSuspects::PartBlames(size_t max_crashes,
                                                 core::TimePoint now) {
  std::vector<PartBlame> blames;
  for (const RefusedParts& refused : refused_parts(now)) {
    const Suspect part = {.kind = SuspectKind::kPart,
                          .id = refused.parts.front()};
    const CrashList crashes =
        CountedCrashes(OpenCrashes(part), {}, repeated_crashes_);
    PartBlame& blame = blames.emplace_back();
    blame.parts = refused.parts;
    // The reader knows no contents, so ages must keep the crashes apart.
    const int64_t gap = core::ToMilliseconds(policy_.min_crash_gap);
    int64_t min_age = 0;
    for (auto it = crashes.rbegin();
         it != crashes.rend() && blame.crash_ids.size() < max_crashes; ++it) {
      const int64_t age =
          std::max(min_age, core::ToMilliseconds(now - it->first));
      blame.crash_ids.push_back(it->second);
      blame.ages_milliseconds.push_back(age);
      min_age = age + gap;
    }
  }
  return blames;
}

std::vector<uint64_t> CrashSuspects::RefusedContents(core::TimePoint now) {
  Judge(now);
  std::vector<uint64_t> contents(refused_contents_.begin(),
                                 refused_contents_.end());
  std::sort(contents.begin(), contents.end());
  return contents;
}

std::vector<ContentBlame> CrashSuspects::ContentBlames(size_t max_crashes,
                                                       core::TimePoint now) {
  std::vector<ContentBlame> blames;
  for (const uint64_t content : RefusedContents(now)) {
    ContentBlame& blame = blames.emplace_back();
    blame.content = content;
    const CrashList crashes =
        OpenCrashes({.kind = SuspectKind::kContent, .id = content});
    for (auto it = crashes.rbegin();
         it != crashes.rend() && blame.crash_ids.size() < max_crashes; ++it) {
      blame.crash_ids.push_back(it->second);
      blame.ages_milliseconds.push_back(core::ToMilliseconds(now - it->first));
    }
  }
  return blames;
}

CrashSuspects::CrashList CrashSuspects::OpenCrashes(Suspect suspect) const {
  CrashList crashes;
  for (const uint64_t crash_id : open_crashes_.at(suspect)) {
    crashes.emplace_back(crashes_.at(crash_id).time, crash_id);
  }
  std::sort(crashes.begin(), crashes.end());
  return crashes;
}

std::vector<CrashSuspects::Candidate> CrashSuspects::Candidates(
    core::TimePoint now) const {
  std::vector<Candidate> candidates;
  for (const auto& [suspect, crash_ids] : open_crashes_) {
    if (crash_ids.size() < policy_.max_content_crashes) {
      continue;
    }
    Candidate& it = candidates.emplace_back();
    it.suspect = suspect;
    it.is_known = known_.Contains(KnownKeyOf(suspect), now);
    it.threshold = Threshold(it);
    for (const uint64_t crash_id : crash_ids) {
      it.crashes.emplace_back(crashes_.at(crash_id).time, crash_id);
    }
    std::sort(it.crashes.begin(), it.crashes.end());
  }
  return candidates;
}

size_t CrashSuspects::Threshold(const Candidate& candidate) const {
  if (candidate.IsPart()) {
    return candidate.is_known ? policy_.max_known_part_crashes
                              : policy_.max_part_crashes;
  }
  return candidate.is_known ? policy_.max_known_content_crashes
                            : policy_.max_content_crashes;
}

CrashSuspects::CrashIds CrashSuspects::RepeatedCrashes(
    const std::vector<Candidate>& candidates) {
  CrashIds repeated;
  for (const Candidate& candidate : candidates) {
    if (candidate.IsPart() || candidate.is_known) {
      continue;
    }
    for (size_t i = 1; i < candidate.crashes.size(); ++i) {
      repeated.insert(candidate.crashes[i].second);
    }
  }
  return repeated;
}

CrashSuspects::CrashList CrashSuspects::CountedCrashes(
    const CrashList& crashes,
    const CrashIds& left_out,
    const CrashIds& apart) const {
  CrashList counted;
  for (const auto& [time, crash_id] : crashes) {
    if (left_out.contains(crash_id)) {
      continue;
    }
    const bool is_joined =
        !counted.empty() &&
        time - counted.back().first < policy_.min_crash_gap &&
        !apart.contains(crash_id);
    if (!is_joined) {
      counted.emplace_back(time, crash_id);
    }
  }
  return counted;
}

void CrashSuspects::CountCrashes(std::vector<Candidate>& candidates) const {
  CrashIds explained;
  for (Candidate& it : candidates) {
    if (it.is_known) {
      continue;
    }
    it.count = it.IsPart()
                   ? CountedCrashes(it.crashes, {}, repeated_crashes_).size()
                   : it.crashes.size();
    // A part of a single request may be one that no other request has.
    if (it.IsPart() &&
        CountedCrashes(it.crashes, repeated_crashes_, {}).size() > 1) {
      for (const auto& [time, crash_id] : it.crashes) {
        explained.insert(crash_id);
      }
    }
  }
  const CrashIds none;
  for (Candidate& it : candidates) {
    if (it.is_known) {
      const CrashIds& left_out = it.IsPart() ? explained : none;
      it.count = CountedCrashes(it.crashes, left_out, none).size();
    }
  }
}

void CrashSuspects::Judge(core::TimePoint now) {
  if (!std::exchange(is_stale_, false)) {
    return;
  }
  refused_contents_.clear();
  refused_parts_.clear();
  std::vector<Candidate> candidates = Candidates(now);
  repeated_crashes_ = RepeatedCrashes(candidates);
  while (true) {
    CountCrashes(candidates);
    // A content is preferred to a part, as it is the narrower explanation.
    const auto best = std::max_element(
        candidates.begin(), candidates.end(),
        [](const Candidate& a, const Candidate& b) {
          return std::tuple(a.IsRefused(), a.count, b.suspect.kind,
                            a.crashes.back(), a.suspect.id) <
                 std::tuple(b.IsRefused(), b.count, a.suspect.kind,
                            b.crashes.back(), b.suspect.id);
        });
    if (best == candidates.end() || !best->IsRefused()) {
      return;
    }
    const Candidate refused = *best;
    Refuse(refused, candidates);
    for (Candidate& it : candidates) {
      std::erase_if(it.crashes, [&refused](const auto& crash) {
        return std::binary_search(refused.crashes.begin(),
                                  refused.crashes.end(), crash);
      });
    }
    std::erase_if(candidates,
                  [](const Candidate& it) { return it.crashes.empty(); });
  }
}

void CrashSuspects::Refuse(const Candidate& best,
                           const std::vector<Candidate>& candidates) {
  if (!best.IsPart()) {
    refused_contents_.insert(best.suspect.id);
    return;
  }
  RefusedParts refused{.parts = {}, .crashes = best.count};
  for (const Candidate& it : candidates) {
    if (it.IsPart() && it.IsRefused() && it.crashes == best.crashes) {
      refused.parts.push_back(it.suspect.id);
    }
  }
  std::sort(refused.parts.begin(), refused.parts.end());
  refused_parts_.push_back(std::move(refused));
}

}  // namespace wasabi::forwarding
