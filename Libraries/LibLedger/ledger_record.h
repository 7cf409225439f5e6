// Records of a ledger stream. One record of the log holds a group of them.

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

enum class LedgerRecordKind : uint8_t {
  // The writer is about to run the call. Only that writer may run it.
  kIntent = 1,
  // The end of the attempt with that number, by the writer of its intent.
  kDone = 2,
  // The outcome is unknown and stays so; by any writer.
  kUnknown = 3,
  // The call never runs; counts only before every intent of its key.
  kVoid = 4,
};

struct LedgerRecord {
  LedgerRecordKind kind = LedgerRecordKind::kIntent;
  LedgerKey key;
  // Numbers the attempts of one writer: intents and their ends.
  uint64_t attempt = 0;
  // Of intents: the digest of the call's content.
  std::string content_digest;
  // Of ends: how the call ended.
  LedgerOutcome outcome;

  auto operator<=>(const LedgerRecord&) const = default;

  // Bytes of the variable parts, to bound the size of a group.
  size_t VariableBytes() const {
    return key.key.size() + key.organisation.value().size() +
           content_digest.size() + outcome.body.size();
  }
};

struct LedgerGroup {
  platform::RecordStamp stamp;
  // The writer's wall clock in milliseconds since 1970.
  int64_t wall_ms = 0;
  std::vector<LedgerRecord> records;

  auto operator<=>(const LedgerGroup&) const = default;
};

// The body of the log's record that holds `group`.
std::string EncodeGroup(const LedgerGroup& group);

// The group in a record's body; ResultCode::kMalformedRecord when it is none.
absl::StatusOr<LedgerGroup> DecodeGroup(std::string_view body);

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_LEDGER_RECORD_H_
