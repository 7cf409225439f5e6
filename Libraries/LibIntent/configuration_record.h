// The records of the platform's configuration stream, as JSON:
//   {"kind":"change","stamp":{"writer":W,"sequence":N},"plan":P,"operator":O,
//    "base":{"model/salazar/luthier":17,…},"changes":[{"item":…,"value":…}]}
//   {"kind":"snapshot","stamp":{…},"digest":D,"state":S}
// where S is the text of a ConfigurationFold and D its content digest.

#ifndef LIBINTENT_CONFIGURATION_RECORD_H_
#define LIBINTENT_CONFIGURATION_RECORD_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibIntent/configuration_item.h"
#include "absl/status/statusor.h"

namespace wasabi::intent {

// Names one append. A repeated append carries the same stamp and counts once.
struct RecordStamp {
  // The incarnation of the process that writes.
  std::string writer;
  // Counts the records of the writer.
  int64_t sequence = 0;

  auto operator<=>(const RecordStamp&) const = default;
};

// A confirmed plan.
struct ChangeRecord {
  RecordStamp stamp;
  std::string plan_id;
  std::string operator_name;
  // The revision, at the time of planning, of every item that the plan states.
  std::map<ItemKey, int64_t> base;
  std::vector<Change> changes;

  auto operator<=>(const ChangeRecord&) const = default;
};

// The whole fold at one offset.
struct SnapshotRecord {
  RecordStamp stamp;
  std::string state;

  auto operator<=>(const SnapshotRecord&) const = default;
};

using ConfigurationRecord = std::variant<ChangeRecord, SnapshotRecord>;

// The body of a record for the log.
std::string EncodeRecord(const ChangeRecord& record);
std::string EncodeRecord(const SnapshotRecord& record);

// The record in `body`; ResultCode::kMalformedRecord otherwise.
absl::StatusOr<ConfigurationRecord> ParseRecord(std::string_view body);

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_RECORD_H_
