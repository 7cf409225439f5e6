#include "LibLedger/partition_state.h"

#include "LibCore/hash.h"

namespace wasabi::ledger {

namespace {

// Returns a hash that is never 0, because KeyEntry uses 0 for "no digest".
uint64_t HashOf(const std::string& content_digest) {
  return core::StableHash(content_digest) | 1U;
}

}  // namespace

bool KeyEntry::MatchesDigest(const std::string& content_digest) const {
  return digest_hash == 0 || digest_hash == HashOf(content_digest);
}

PartitionState::PartitionState(core::Duration key_lifetime)
    : key_lifetime_(key_lifetime) {}

bool PartitionState::Apply(const LedgerGroup& group,
                           core::TimePoint now,
                           const Visitor& visit) {
  if (has_gap_) {
    has_gap_ = false;
    complete_since_ms_ = group.wall_ms;
  }
  if (!stamps_.Admit(group.stamp)) {
    return false;
  }
  for (const LedgerRecord& record : group.records) {
    visit(record, ApplyRecord(record, group.stamp.writer, now));
  }
  return true;
}

void PartitionState::Expire(core::TimePoint now) {
  while (!by_age_.empty() &&
         by_age_.front()->second.first_applied_at + key_lifetime_ <= now) {
    keys_.erase(keys_.find(by_age_.front()->first));
    by_age_.pop_front();
  }
}

const KeyEntry* PartitionState::Find(const LedgerKey& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : &it->second;
}

RecordEffect PartitionState::ApplyRecord(const LedgerRecord& record,
                                         uint64_t writer,
                                         core::TimePoint now) {
  switch (record.kind) {
    case LedgerRecordKind::kIntent:
    case LedgerRecordKind::kVoid:
      return Open(record, writer, now);
    case LedgerRecordKind::kDone:
    case LedgerRecordKind::kUnknown:
      return End(record, writer);
  }
  return RecordEffect::kNothing;
}

RecordEffect PartitionState::Open(const LedgerRecord& record,
                                  uint64_t writer,
                                  core::TimePoint now) {
  const bool is_intent = record.kind == LedgerRecordKind::kIntent;
  const auto [it, is_first] = keys_.try_emplace(record.key);
  if (!is_first) {
    return is_intent ? RecordEffect::kIntentLost : RecordEffect::kNothing;
  }
  KeyEntry& entry = it->second;
  entry.first_applied_at = now;
  by_age_.push_back(&*it);
  if (is_intent) {
    entry.writer = writer;
    entry.attempt = record.attempt;
    entry.digest_hash = HashOf(record.content_digest);
    return RecordEffect::kIntentWon;
  }
  entry.is_final = true;
  entry.outcome = MakeOutcome(core::ResultCode::kNotRun);
  return RecordEffect::kEnded;
}

RecordEffect PartitionState::End(const LedgerRecord& record, uint64_t writer) {
  const auto it = keys_.find(record.key);
  if (it == keys_.end() || it->second.is_final) {
    return RecordEffect::kNothing;
  }
  KeyEntry& entry = it->second;
  const bool is_same_attempt =
      entry.writer == writer && entry.attempt == record.attempt;
  if (record.kind == LedgerRecordKind::kDone && !is_same_attempt) {
    return RecordEffect::kNothing;
  }
  entry.is_final = true;
  entry.outcome = record.kind == LedgerRecordKind::kDone
                      ? record.outcome
                      : MakeOutcome(core::ResultCode::kOutcomeUnknown);
  return RecordEffect::kEnded;
}

}  // namespace wasabi::ledger
