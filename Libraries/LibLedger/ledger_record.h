// Defines the records of a ledger stream and their encoding. Each log record
// contains a group of ledger records.

#ifndef LIBLEDGER_LEDGER_RECORD_H_
#define LIBLEDGER_LEDGER_RECORD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibLedger/ledger_call.h"
#include "LibPlatform/record_stamp.h"
#include "absl/status/statusor.h"

namespace wasabi::ledger {

// The kind of a ledger record. PartitionState defines which records are valid.
enum class LedgerRecordKind : uint8_t {
  // The writer is about to run the call. Only this writer may run it.
  kIntent = 1,
  // The outcome of the attempt with the same number, by the writer of the
  // intent.
  kDone = 2,
  // Declares the outcome permanently unknown. Any writer may append it.
  kUnknown = 3,
  // Declares that the call never runs. Valid only if it precedes all intents of
  // the key.
  kVoid = 4,
};

// One ledger record about one key.
struct LedgerRecord {
  LedgerRecordKind kind = LedgerRecordKind::kIntent;
  LedgerKey key;
  // Attempt number, unique per writer. An intent and its outcome record carry
  // the same number.
  uint64_t attempt = 0;
  // Digest of the call's content. Set only for kIntent.
  std::string content_digest;
  // The outcome of the call. Set only for kDone.
  LedgerOutcome outcome;

  auto operator<=>(const LedgerRecord&) const = default;

  // Returns the total size in bytes of the variable-length fields. Used to
  // limit the size of a group.
  size_t VariableBytes() const {
    return key.key.size() + key.organisation.value().size() +
           content_digest.size() + outcome.body.size();
  }
};

// The ledger records that one writer stores in one log record.
struct LedgerGroup {
  platform::RecordStamp stamp;
  // The writer's wall-clock time when it appended the group, in milliseconds
  // since 1970.
  int64_t wall_ms = 0;
  std::vector<LedgerRecord> records;

  auto operator<=>(const LedgerGroup&) const = default;
};

// Encodes `group` as the body of a log record.
std::string EncodeGroup(const LedgerGroup& group);

// Decodes a group from the body of a log record. Returns
// ResultCode::kMalformedRecord if the body is not a valid group.
absl::StatusOr<LedgerGroup> DecodeGroup(std::string_view body);

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_LEDGER_RECORD_H_
