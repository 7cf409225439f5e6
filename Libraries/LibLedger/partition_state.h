// The state of all keys of one ledger partition, derived by applying the
// records of its stream. Hosts that apply the same records in offset order have
// the same state for every key.
//
// These rules ensure that a key runs at most once and has one outcome:
//  - The first intent or void of a key is valid; later ones are ignored.
//  - A valid void makes kNotRun the final outcome of the key.
//  - After a valid intent, the outcome becomes final with the first kDone of
//    the same writer and attempt or the first kUnknown of any writer, whichever
//    comes first.

#ifndef LIBLEDGER_PARTITION_STATE_H_
#define LIBLEDGER_PARTITION_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <utility>

#include "LibCore/time.h"
#include "LibLedger/ledger_key.h"
#include "LibLedger/ledger_record.h"
#include "LibPlatform/record_stamp.h"
#include "absl/container/node_hash_map.h"

namespace wasabi::ledger {

// The state of one key.
struct KeyEntry {
  // True once the outcome can no longer change.
  bool is_final = false;
  // The writer and the attempt number of the valid intent; both are 0 for a key
  // that was voided.
  uint64_t writer = 0;
  uint64_t attempt = 0;
  // Hash of the content digest; 0 for a key that was voided.
  uint64_t digest_hash = 0;
  // When this host applied the key's first record.
  core::TimePoint first_applied_at;
  // Valid only if is_final is true.
  LedgerOutcome outcome;

  // Returns true if a call with `content_digest` may use this key. A voided key
  // matches any digest.
  bool MatchesDigest(const std::string& content_digest) const;
};

// The effect of one record on the state of its key.
enum class RecordEffect {
  // The record was ignored.
  kNothing,
  // The intent is the valid one of its key.
  kIntentWon,
  // The intent was ignored because an earlier record of the key is valid.
  kIntentLost,
  // The record made the outcome of the key final.
  kEnded
};

// Applies the groups of one ledger stream and stores the state of its keys.
class PartitionState {
 public:
  // A key expires `key_lifetime` after its first record was applied.
  explicit PartitionState(core::Duration key_lifetime);

  // Called for each record of an applied group with the record's effect.
  using Visitor =
      std::function<void(const LedgerRecord& record, RecordEffect effect)>;

  // Applies the next group of the stream and calls `visit` for each record.
  // Returns false without applying or visiting anything if the stamp shows that
  // the group is a duplicate.
  bool Apply(const LedgerGroup& group,
             core::TimePoint now,
             const Visitor& visit);

  // Marks a gap: records before the next group are missing on this host.
  void MarkGap() { has_gap_ = true; }

  // Removes the keys that have expired at `now`.
  void Expire(core::TimePoint now);

  // Returns the entry of `key`, or nullptr.
  const KeyEntry* Find(const LedgerKey& key) const;

  // Returns the wall-clock time, in milliseconds since 1970, from which this
  // host has all records of the stream. Returns the minimum value if it has
  // every record.
  int64_t complete_since_ms() const { return complete_since_ms_; }
  size_t size() const { return keys_.size(); }

 private:
  using Keys = absl::node_hash_map<LedgerKey, KeyEntry>;

  RecordEffect ApplyRecord(const LedgerRecord& record,
                           uint64_t writer,
                           core::TimePoint now);
  // Applies an intent or a void.
  RecordEffect Open(const LedgerRecord& record,
                    uint64_t writer,
                    core::TimePoint now);
  // Applies a kDone or a kUnknown.
  RecordEffect End(const LedgerRecord& record, uint64_t writer);

  const core::Duration key_lifetime_;
  platform::StampFilter stamps_;
  Keys keys_;
  // The keys ordered by first_applied_at. The pointers stay valid because
  // node_hash_map does not move its nodes.
  std::deque<const Keys::value_type*> by_age_;
  // True between MarkGap and the next group.
  bool has_gap_ = false;
  int64_t complete_since_ms_ = std::numeric_limits<int64_t>::min();
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_PARTITION_STATE_H_
