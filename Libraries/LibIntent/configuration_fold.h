// The deterministic state machine over the configuration stream. Daemons that
// apply the same records in offset order hold the same state, whether they
// started at the first record or at a snapshot.

#ifndef LIBINTENT_CONFIGURATION_FOLD_H_
#define LIBINTENT_CONFIGURATION_FOLD_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "LibIntent/configuration.h"
#include "LibIntent/configuration_item.h"
#include "LibIntent/configuration_record.h"
#include "LibPlatform/log_client.h"
#include "absl/status/statusor.h"

namespace wasabi::intent {

// The result of applying one record.
enum class FoldOutcome : uint8_t {
  // The changes of the plan were applied.
  kApplied,
  // An item in the plan's base had changed after the plan was made, so none of
  // the plan's changes were applied.
  kConflict,
  // The same plan or stamp was already processed.
  kDuplicate,
  // A snapshot that agrees with the state of the fold, or one of another
  // revision, which can't be compared.
  kSnapshot,
  // A snapshot of the same revision that differs from the state of the fold.
  kSnapshotDiffers,
  // The record can't be parsed.
  kMalformed,
  // The offset of the record is not the next one, so the record was ignored.
  kOutOfOrder,
};

// The final result of a confirmed plan.
struct PlanOutcome {
  // Offset of the plan's first record.
  int64_t offset = -1;
  // False if the plan conflicted.
  bool is_applied = false;

  auto operator<=>(const PlanOutcome&) const = default;
};

struct FoldResult {
  FoldOutcome outcome = FoldOutcome::kOutOfOrder;
  // The plan of a change record; empty for other records.
  std::string plan_id;
  // The first stale item of a conflict, or the reason why a record was
  // rejected.
  std::string reason;

  auto operator<=>(const FoldResult&) const = default;
};

// The configuration with the bookkeeping that detects conflicting and repeated
// plans.
class ConfigurationFold {
 public:
  // Maximum number of retained plan outcomes; the oldest are evicted first.
  static constexpr size_t kMaxOutcomes = 1024;
  // Maximum number of retained revisions of removed items; the oldest are
  // evicted first.
  static constexpr size_t kMaxRemovals = 4096;

  // Restores the state from `snapshot`, which Snapshot() returned. Error:
  // ResultCode::kMalformedRecord.
  static absl::StatusOr<ConfigurationFold> FromSnapshot(
      std::string_view snapshot);

  // Applies the record at the next offset. The revision advances even if the
  // record changes nothing.
  FoldResult Apply(const platform::LogRecord& record);

  const Configuration& configuration() const { return configuration_; }
  // Offset of the last applied record, or -1.
  int64_t revision() const { return configuration_.revision; }

  // Returns the offset of the last change of `item`. For an item that never
  // existed, returns a value below the offset of every later change.
  int64_t RevisionOf(const ItemKey& item) const;

  // Returns the outcome of the plan, or nullopt if no record of it has been
  // applied yet or the outcome was evicted.
  std::optional<PlanOutcome> OutcomeOf(const std::string& plan_id) const;

  // Serializes the whole state as JSON text. At one revision, all hosts produce
  // the same bytes.
  std::string Snapshot() const;

  bool operator==(const ConfigurationFold&) const = default;

 private:
  FoldResult ApplyChangeRecord(const ChangeRecord& record);
  FoldResult CompareSnapshot(const SnapshotRecord& record) const;
  // Returns the first item whose revision differs from the record's base.
  std::optional<ItemKey> FindStaleItem(const ChangeRecord& record) const;
  void SetRevision(const Change& change);
  void RecordOutcome(const ChangeRecord& record, bool is_applied);
  void EvictOldestOutcomes();
  void EvictOldestRemovals();

  Configuration configuration_;
  std::map<ItemKey, int64_t> revisions_;
  // Removed items and the offsets of their removal. Their revisions are
  // retained so that a stale plan can't bring them back.
  std::set<std::pair<int64_t, ItemKey>> removals_;
  // Revision of all items without an entry in `revisions_`.
  int64_t absent_revision_ = -1;
  std::map<std::string, PlanOutcome> outcomes_;
  std::map<int64_t, std::pair<std::string, RecordStamp>> outcomes_by_offset_;
  std::set<RecordStamp> stamps_;
};

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_FOLD_H_
