// Finds out which requests crash endpoints, and refuses them. A caller may
// repeat one request, or many requests may share one prompt part that crashes
// every endpoint that runs it, whatever else they contain.
//
// When an endpoint crashes, the content and each shared prompt part of every
// request in flight there become suspects. A suspect is cleared of a crash when
// a request that has it completes afterwards: what crashes endpoints never
// completes. The suspect that explains most of the remaining crashes is
// refused, and what else was in flight at these crashes is not blamed for them,
// so that bystanders keep flowing. Parts that the same crashes speak against
// cannot be told apart; then only requests that have all of them are refused,
// until a request with some of them completes or crashes.
//
// A part that callers ask for often, and that has completed a short time
// before, is in flight at many crashes that it does not cause. Crashes do not
// count against it if a part that never completed was in flight there and at
// those of other requests, even if that part has too few crashes to be refused:
// what is refused can no longer complete, so a sound part would stay refused.
//
// The evidence is a set of crashes, each with sets of suspects and of cleared
// suspects. Both sets only grow and are merged by union, so the reports of
// hosts may arrive late, repeatedly or out of order. Performs no I/O; the
// caller passes in the time.

#ifndef LIBFORWARDING_CRASH_SUSPECTS_H_
#define LIBFORWARDING_CRASH_SUSPECTS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "LibCore/time.h"
#include "LibForwarding/crash_report.h"
#include "LibForwarding/recent_set.h"
#include "LibForwarding/request_fingerprint.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace wasabi::forwarding {

struct CrashSuspectsPolicy {
  // Time after which a crash no longer counts.
  core::Duration lifetime = std::chrono::minutes(3);
  // Maximum number of crashes kept. The oldest is dropped when it is exceeded.
  size_t max_crashes = 256;
  // Maximum number of suspects kept of one crash.
  size_t max_suspects = 1024;
  // Crashes after which a suspect that has not completed since is refused.
  size_t max_content_crashes = 2;
  size_t max_part_crashes = 3;
  // The same for what has completed on this host a short time before: what
  // callers ask for often is in flight at many crashes.
  size_t max_known_content_crashes = 3;
  size_t max_known_part_crashes = 5;
  // Time for which a completion counts as a short time before.
  core::Duration known_lifetime = core::seconds(30);
  // Endpoints that crash within this time may have been lost together. They
  // count as one crash for a suspect, unless it is a content that this host has
  // never seen complete, or a part of that kind and a request was sent again
  // from one of these endpoints to the other.
  core::Duration min_crash_gap = core::milliseconds(150);

  auto operator<=>(const CrashSuspectsPolicy&) const = default;
};

// Prompt parts of which a request is refused if it has all of them.
struct RefusedParts {
  // Sorted.
  std::vector<uint64_t> parts;
  size_t crashes = 0;

  auto operator<=>(const RefusedParts&) const = default;
};

class CrashSuspects {
 public:
  explicit CrashSuspects(const CrashSuspectsPolicy& policy = {});

  // Records that an endpoint crashed at `now` while `requests` were in flight.
  void RecordCrash(uint64_t crash_id,
                   const std::vector<RequestFingerprint>& requests,
                   core::TimePoint now);
  // Records that a request completed.
  void RecordCompletion(const RequestFingerprint& request, core::TimePoint now);

  // Returns whether a request must be refused because it would crash endpoints.
  bool IsRefused(const RequestFingerprint& request, core::TimePoint now);
  // Returns the prompt parts that are refused, for log entries.
  const std::vector<RefusedParts>& refused_parts(core::TimePoint now);

  // Returns the refused prompt parts with the crashes that speak against them,
  // at most `max_crashes` each: the latest ones of those that count.
  std::vector<PartBlame> PartBlames(size_t max_crashes, core::TimePoint now);
  // Returns the contents of requests that are refused, in order.
  std::vector<uint64_t> RefusedContents(core::TimePoint now);
  // Returns them with the latest crashes that speak against them.
  std::vector<ContentBlame> ContentBlames(size_t max_crashes,
                                          core::TimePoint now);
  core::Duration lifetime() const { return policy_.lifetime; }

  // Returns what this host has found out since the last call. With `relays`,
  // MergeReport adds what it learns to these changes.
  std::vector<CrashReport> TakeChanges(core::TimePoint now);
  void MergeReport(const CrashReport& report, bool relays, core::TimePoint now);
  // Returns suspects that have not been cleared, at most `max_ids` over all
  // reports, for hosts that missed them: those of most crashes first, and a
  // random choice, by `salt`, of those of one crash a short time ago.
  std::vector<CrashReport> OpenSuspects(size_t max_ids,
                                        uint64_t salt,
                                        core::TimePoint now) const;

  // Drops the crashes that are older than the policy's lifetime. Must be called
  // regularly.
  void Expire(core::TimePoint now);

  // Returns when the latest known crash was; nullopt if none is known.
  std::optional<core::TimePoint> last_crash_at() const {
    return last_crash_at_;
  }
  size_t crash_count() const { return crashes_.size(); }

 private:
  struct Evidence {
    bool is_cleared = false;
    // Other hosts have heard of this suspect.
    bool is_shared = false;
    // The other hosts have to be told.
    bool is_changed = false;
  };
  struct Crash {
    core::TimePoint time;
    absl::flat_hash_map<Suspect, Evidence> suspects;
    bool has_changes = false;
  };
  using CrashList = std::vector<std::pair<core::TimePoint, uint64_t>>;
  // A suspect and the crashes that no refused suspect explains, in order.
  struct Candidate {
    Suspect suspect;
    // Whether it has completed on this host a short time ago.
    bool is_known = false;
    CrashList crashes;
    // The number of crashes that count, and the number at which it is refused.
    size_t count = 0;
    size_t threshold = 0;

    bool IsPart() const { return suspect.kind == SuspectKind::kPart; }
    bool IsRefused() const { return count >= threshold; }
  };
  using CrashIds = absl::flat_hash_set<uint64_t>;

  // Returns the crash with this id, adding it if necessary, or nullptr if an
  // unknown crash has already expired.
  Crash* FindOrAdd(uint64_t crash_id,
                   core::TimePoint time,
                   core::TimePoint now);
  // Returns the evidence on a suspect, adding it if necessary, or nullptr if
  // the crash has too many.
  Evidence* FindOrAddEvidence(uint64_t crash_id, Crash& crash, Suspect suspect);
  void Clear(uint64_t crash_id, Crash& crash, Suspect suspect);
  void ClearEverywhere(Suspect suspect);
  void RemoveOpen(uint64_t crash_id, Suspect suspect);
  void Drop(uint64_t crash_id);
  void DropOldest();

  // Returns the crashes that a suspect is not cleared of, in order.
  CrashList OpenCrashes(Suspect suspect) const;
  // Derives what is refused from the evidence, if that has changed.
  void Judge(core::TimePoint now);
  std::vector<Candidate> Candidates(core::TimePoint now) const;
  size_t Threshold(const Candidate& candidate) const;
  // Returns the crashes at which a content was in flight that had already been
  // in flight at an earlier one: a request that was sent again.
  static CrashIds RepeatedCrashes(const std::vector<Candidate>& candidates);
  // Counts the crashes that speak against each candidate.
  void CountCrashes(std::vector<Candidate>& candidates) const;
  // Returns the crashes that count, in order: not those that are `left_out`,
  // nor those a short time after another unless they are to be kept `apart`.
  CrashList CountedCrashes(const CrashList& crashes,
                           const CrashIds& left_out,
                           const CrashIds& apart) const;
  void Refuse(const Candidate& best, const std::vector<Candidate>& candidates);

  const CrashSuspectsPolicy policy_;
  absl::flat_hash_map<uint64_t, Crash> crashes_;
  std::optional<core::TimePoint> last_crash_at_;
  // Maps each suspect to the ids of the crashes that it is not cleared of.
  absl::flat_hash_map<Suspect, absl::flat_hash_set<uint64_t>> open_crashes_;
  // Hashes of the suspects that have completed on this host a short time ago.
  RecentSet known_;

  bool is_stale_ = false;
  CrashIds repeated_crashes_;
  absl::flat_hash_set<uint64_t> refused_contents_;
  std::vector<RefusedParts> refused_parts_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_CRASH_SUSPECTS_H_
