// Detects requests that crash endpoints and quarantines them by their content
// digest. When an endpoint crashes, every digest that was in flight there
// becomes a suspect and runs alone until it completes. A digest that was in
// flight at two crashes and has not completed since is refused. No digest can
// therefore crash a third endpoint, while a harmless request is cleared by its
// first completion on any endpoint.
//
// A suspect continues to run alone even after another digest of the same crash
// is refused. If it ran together with others, a harmless suspect could be in
// flight at a second crash, and a second digest that contributed to the first
// crash could crash a third endpoint.
//
// The table is a set of crash records, each with a set of digests in flight and
// a set of digests cleared since. Both sets only grow and are merged by union,
// so gossip may arrive late, repeatedly or out of order.

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
  // Time after which a crash no longer counts.
  core::Duration lifetime = std::chrono::minutes(10);
  // Maximum number of crashes kept. The oldest is dropped when it is exceeded.
  size_t max_crashes = 256;

  auto operator<=>(const QuarantinePolicy&) const = default;
};

// How a request with a given content digest must be treated.
enum class QuarantineVerdict : uint8_t {
  // Run the request normally.
  kClear,
  // Run no other request on the runner meanwhile, see WorkItem::runs_alone.
  kRunAlone,
  // Refuse the request with ResultCode::kQuarantined.
  kRefuse,
};

// The representation of a crash in messages between hosts.
struct CrashRecord {
  uint64_t crash_id = 0;
  // Time since the crash in milliseconds, on the sender's clock.
  int64_t age_milliseconds = 0;
  // Content digests of the requests that were in flight.
  std::vector<uint64_t> digests;
  // The digests that have completed since.
  std::vector<uint64_t> cleared;

  auto operator<=>(const CrashRecord&) const = default;
  MSGPACK_DEFINE(crash_id, age_milliseconds, digests, cleared);
};

// A gossip message: the crashes that changed since the last delta, or a
// snapshot of all crashes.
struct QuarantineDelta {
  std::vector<CrashRecord> crashes;

  auto operator<=>(const QuarantineDelta&) const = default;
  MSGPACK_DEFINE(crashes);
};

// Returns the id of a crash of `runner`. `incarnation` identifies one start of
// the endpoint process. Hosts that observe the same crash must pass the same
// incarnation.
uint64_t MakeCrashId(const core::RunnerId& runner, uint64_t incarnation);

class QuarantineTable {
 public:
  explicit QuarantineTable(const QuarantinePolicy& policy = {});

  // Records that an endpoint crashed at `now` while `digests` were in flight.
  void RecordCrash(uint64_t crash_id,
                   const std::vector<uint64_t>& digests,
                   core::TimePoint now);

  // Records that a request with `digest` completed. Returns true if that
  // cleared the digest of any crash.
  bool RecordCompletion(uint64_t digest);

  // Returns how a request with `digest` must be treated at `now`.
  QuarantineVerdict VerdictFor(uint64_t digest, core::TimePoint now) const;

  // Returns the time until a refused digest is admitted again, or zero if it is
  // not refused.
  core::Duration RetryAfter(uint64_t digest, core::TimePoint now) const;

  // Merges the crashes known to another host. Returns true if that added a
  // digest or cleared one.
  bool Merge(const QuarantineDelta& delta, core::TimePoint now);

  // Returns the crashes that changed since the last call, including changes
  // made by Merge, and resets the set of changes.
  QuarantineDelta TakeDelta(core::TimePoint now);

  // Returns all crashes, for a host that joins the fleet.
  QuarantineDelta Snapshot(core::TimePoint now) const;

  // Drops the crashes that are older than the policy's lifetime.
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
  // Return true if the crash record changed.
  bool AddDigest(uint64_t crash_id, Crash& crash, uint64_t digest);
  bool ClearDigest(uint64_t crash_id, Crash& crash, uint64_t digest);
  void Drop(uint64_t crash_id);
  void DropOldest();
  bool IsActive(const Crash& crash, core::TimePoint now) const;
  // Returns the unexpired crashes that `digest` has not been cleared of.
  std::vector<const Crash*> FindActiveCrashes(uint64_t digest,
                                              core::TimePoint now) const;
  CrashRecord ToRecord(uint64_t crash_id,
                       const Crash& crash,
                       core::TimePoint now) const;

  QuarantinePolicy policy_;
  absl::flat_hash_map<uint64_t, Crash> crashes_;
  // Maps each digest to the ids of the crashes that it has not been cleared of.
  absl::flat_hash_map<uint64_t, absl::flat_hash_set<uint64_t>>
      uncleared_crashes_;
  // Ids of the crashes that changed since the last call of TakeDelta.
  absl::flat_hash_set<uint64_t> changed_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_QUARANTINE_TABLE_H_
