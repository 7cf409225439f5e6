// The records of the platform's configuration stream, as JSON:
//   {"kind":"change","stamp":{"writer":W,"sequence":N},"plan":P,"operator":O,
//    "base":{"model/salazar/luthier":17,…},"changes":[{"item":…,"value":…}]}
//   {"kind":"snapshot","stamp":{…},"digest":D,"state":S}
// where S is the output of ConfigurationFold::Snapshot and D its content
// digest.

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

// Identifies one append. A retried append carries the same stamp, so that it
// takes effect only once.
struct RecordStamp {
  // Identifies the incarnation of the writing process.
  std::string writer;
  // Sequence number of the record within the writer.
  int64_t sequence = 0;

  auto operator<=>(const RecordStamp&) const = default;
};

// The record of a confirmed plan.
struct ChangeRecord {
  RecordStamp stamp;
  std::string plan_id;
  std::string operator_name;
  // Revision, when the plan was made, of every item that the plan depends on.
  std::map<ItemKey, int64_t> base;
  std::vector<Change> changes;

  auto operator<=>(const ChangeRecord&) const = default;
};

// The complete state of the fold at one revision.
struct SnapshotRecord {
  RecordStamp stamp;
  // Output of ConfigurationFold::Snapshot.
  std::string state;

  auto operator<=>(const SnapshotRecord&) const = default;
};

using ConfigurationRecord = std::variant<ChangeRecord, SnapshotRecord>;

// Encodes the body of a log record.
std::string EncodeRecord(const ChangeRecord& record);
std::string EncodeRecord(const SnapshotRecord& record);

// Parses the body of a log record. Error: ResultCode::kMalformedRecord.
absl::StatusOr<ConfigurationRecord> ParseRecord(std::string_view body);

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_RECORD_H_
