// The fold of one ledger stream. All hosts that fold the same records in
// offset order hold the same state of every key.
//
// Rules, which make one key run at most once and end once:
//  - The first intent or void of a key counts; later ones change nothing.
//  - A void that counts ends the key as kNotRun.
//  - After an intent, the first of these ends the key: a kDone of the same
//    writer and attempt, or a kUnknown of any writer.

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

// What is known of one key.
struct KeyEntry {
  bool is_final = false;
  // The writer of the intent and its attempt.
  uint64_t writer = 0;
  uint64_t attempt = 0;
  // Hash of the content digest; 0 for a key that was voided.
  uint64_t digest_hash = 0;
  // When this host folded the key's first record.
  core::TimePoint seen_at;
  // Valid where is_final.
  LedgerOutcome outcome;

  // Whether a call with `content_digest` is the one of this key.
  bool HasContent(const std::string& content_digest) const;
};

// What one record did to the state.
enum class RecordEffect { kNothing, kIntentWon, kIntentLost, kEnded };

class PartitionState {
 public:
  // Keys are dropped `key_lifetime` after their first record was folded.
  explicit PartitionState(core::Duration key_lifetime);

  // Hears of each record of a group that counts and of its effect.
  using Visitor =
      std::function<void(const LedgerRecord& record, RecordEffect effect)>;

  // Folds the next group of the stream. False when its stamp shows that it is
  // a repeated one, which changes nothing.
  bool Apply(const LedgerGroup& group,
             core::TimePoint now,
             const Visitor& visit);

  // Notes that records before the next group are unknown to this host.
  void NoteForgotten() { has_gap_ = true; }

  // Drops the keys whose lifetime has passed.
  void Expire(core::TimePoint now);

  // The entry of `key`, or nullptr.
  const KeyEntry* Find(const LedgerKey& key) const;

  // The wall-clock time in milliseconds since 1970 from which on this host
  // knows the records of every key; the minimum where it knows all.
  int64_t complete_since_ms() const { return complete_since_ms_; }
  size_t size() const { return keys_.size(); }

 private:
  using Keys = absl::node_hash_map<LedgerKey, KeyEntry>;

  RecordEffect ApplyRecord(const LedgerRecord& record,
                           uint64_t writer,
                           core::TimePoint now);
  RecordEffect Open(const LedgerRecord& record,
                    uint64_t writer,
                    core::TimePoint now);
  RecordEffect End(const LedgerRecord& record, uint64_t writer);

  const core::Duration key_lifetime_;
  platform::StampFilter stamps_;
  Keys keys_;
  // The keys in the order of their seen_at; nodes of the map are stable.
  std::deque<const Keys::value_type*> by_age_;
  bool has_gap_ = false;
  int64_t complete_since_ms_ = std::numeric_limits<int64_t>::min();
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_PARTITION_STATE_H_
