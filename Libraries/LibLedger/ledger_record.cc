#include "LibLedger/ledger_record.h"

#include <utility>

#include "LibCore/try.h"
#include "LibPlatform/record_text.h"

namespace wasabi::ledger {

namespace {

// Incremented with every incompatible change of the encoding.
constexpr int kFormatVersion = 1;

// Encoded form of a LedgerRecord.
struct WireRecord {
  uint8_t kind = 0;
  core::OrganisationId organisation;
  std::string key;
  uint64_t attempt = 0;
  std::string content_digest;
  LedgerOutcome outcome;

  MSGPACK_DEFINE(kind, organisation, key, attempt, content_digest, outcome);
};

// Encoded form of a LedgerGroup.
struct WireGroup {
  int version = kFormatVersion;
  platform::RecordStamp stamp;
  int64_t wall_ms = 0;
  std::vector<WireRecord> records;

  MSGPACK_DEFINE(version, stamp, wall_ms, records);
};

WireRecord ToWire(const LedgerRecord& record) {
  return {static_cast<uint8_t>(record.kind),
          record.key.organisation,
          record.key.key,
          record.attempt,
          record.content_digest,
          record.outcome};
}

absl::StatusOr<LedgerRecord> FromWire(WireRecord wire) {
  const bool is_known =
      wire.kind >= static_cast<uint8_t>(LedgerRecordKind::kIntent) &&
      wire.kind <= static_cast<uint8_t>(LedgerRecordKind::kVoid);
  if (!is_known) {
    return core::MakeStatus(core::ResultCode::kMalformedRecord,
                            "unknown ledger record kind");
  }
  LedgerRecord record;
  record.kind = static_cast<LedgerRecordKind>(wire.kind);
  record.key.organisation = std::move(wire.organisation);
  record.key.key = std::move(wire.key);
  record.attempt = wire.attempt;
  record.content_digest = std::move(wire.content_digest);
  record.outcome = std::move(wire.outcome);
  return record;
}

}  // namespace

std::string EncodeGroup(const LedgerGroup& group) {
  WireGroup wire;
  wire.stamp = group.stamp;
  wire.wall_ms = group.wall_ms;
  wire.records.reserve(group.records.size());
  for (const LedgerRecord& record : group.records) {
    wire.records.push_back(ToWire(record));
  }
  return platform::EncodeRecord(wire);
}

absl::StatusOr<LedgerGroup> DecodeGroup(std::string_view body) {
  TRY_ASSIGN(WireGroup wire, platform::DecodeRecord<WireGroup>(body));
  if (wire.version != kFormatVersion) {
    return core::MakeStatus(core::ResultCode::kMalformedRecord,
                            "unknown ledger group version");
  }
  LedgerGroup group;
  group.stamp = wire.stamp;
  group.wall_ms = wire.wall_ms;
  group.records.reserve(wire.records.size());
  for (WireRecord& it : wire.records) {
    TRY_ASSIGN(LedgerRecord record, FromWire(std::move(it)));
    group.records.push_back(std::move(record));
  }
  return group;
}

}  // namespace wasabi::ledger
