// Requests that crash endpoints, recognised by their content digest. When an
// endpoint dies, every digest in flight there is a suspect, and runs alone
// until it completes. A digest that was in flight at two crashes, and never
// completed since, is refused: so no digest costs a third endpoint, while a
// bystander is cleared by its first completion anywhere.
//
// A suspect keeps running alone even when another digest of the same crash is
// refused by now: in company, a bystander could be there at a second crash, and
// a second culprit of the first crash could cost a third endpoint.
//
// The table is a set of crash records, each a set of digests that only shrinks
// by completions. Both sets merge by union, so that gossip may arrive late,
// twice or in any order.

#ifndef LIBROUTING_QUARANTINE_TABLE_H_
#define LIBROUTING_QUARANTINE_TABLE_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace wasabi::routing {

struct QuarantinePolicy {
  // How long a crash counts.
  core::Duration lifetime = std::chrono::minutes(10);
  // Most crashes that are kept; the oldest are dropped first.
  size_t max_crashes = 256;

  auto operator<=>(const QuarantinePolicy&) const = default;
};

enum class QuarantineVerdict : uint8_t {
  // Run as usual.
  kClear,
  // Run with nothing beside it, see WorkItem::runs_alone.
  kRunAlone,
  // Refuse: ResultCode::kQuarantined.
  kRefuse,
};

// One crash as it travels between hosts.
struct CrashRecord {
  uint64_t crash_id = 0;
  // Time since the crash, by the sender's clock.
  int64_t age_milliseconds = 0;
  // Content digests that were in flight.
  std::vector<uint64_t> digests;
  // Those of them that completed since.
  std::vector<uint64_t> cleared;

  auto operator<=>(const CrashRecord&) const = default;
  MSGPACK_DEFINE(crash_id, age_milliseconds, digests, cleared);
};

// The crashes that changed since the last delta, or all of them.
struct QuarantineDelta {
  std::vector<CrashRecord> crashes;

  auto operator<=>(const QuarantineDelta&) const = default;
  MSGPACK_DEFINE(crashes);
};

// The id of a crash of `runner`. `incarnation` changes when the endpoint starts
// anew; hosts that see the same crash must name the same one.
uint64_t MakeCrashId(const core::RunnerId& runner, uint64_t incarnation);

class QuarantineTable {
 public:
  explicit QuarantineTable(const QuarantinePolicy& policy = {});

  // An endpoint died with `digests` in flight.
  void RecordCrash(uint64_t crash_id,
                   const std::vector<uint64_t>& digests,
                   core::TimePoint now);

  // A request with `digest` completed. Returns true when that cleared it.
  bool RecordCompletion(uint64_t digest);

  QuarantineVerdict VerdictFor(uint64_t digest, core::TimePoint now) const;

  // Time until a refused digest is let through again.
  core::Duration RetryAfter(uint64_t digest, core::TimePoint now) const;

  // Adds what another host knows. Returns true when anything was new.
  bool Merge(const QuarantineDelta& delta, core::TimePoint now);

  // The crashes that changed since the last call, those of Merge included.
  QuarantineDelta TakeDelta(core::TimePoint now);

  // All crashes, for a host that joins.
  QuarantineDelta Snapshot(core::TimePoint now) const;

  // Drops the crashes that no longer count.
  void Expire(core::TimePoint now);

  size_t crash_count() const { return crashes_.size(); }

 private:
  struct Crash {
    core::TimePoint time;
    absl::flat_hash_set<uint64_t> digests;
    absl::flat_hash_set<uint64_t> cleared;
  };

  Crash* FindOrAdd(uint64_t crash_id,
                   core::TimePoint time,
                   core::TimePoint now);
  bool AddDigest(uint64_t crash_id, Crash& crash, uint64_t digest);
  bool ClearDigest(uint64_t crash_id, Crash& crash, uint64_t digest);
  void Drop(uint64_t crash_id);
  void DropOldest();
  bool IsCounted(const Crash& crash, core::TimePoint now) const;
  // The crashes that count against `digest`.
  std::vector<const Crash*> CrashesOf(uint64_t digest,
                                      core::TimePoint now) const;
  CrashRecord ToRecord(uint64_t crash_id,
                       const Crash& crash,
                       core::TimePoint now) const;

  QuarantinePolicy policy_;
  absl::flat_hash_map<uint64_t, Crash> crashes_;
  // Digest to the ids of the crashes that it is not cleared of.
  absl::flat_hash_map<uint64_t, absl::flat_hash_set<uint64_t>> open_;
  // Ids of the crashes that changed since the last delta.
  absl::flat_hash_set<uint64_t> changed_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_QUARANTINE_TABLE_H_
