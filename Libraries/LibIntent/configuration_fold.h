// The pure fold of the configuration stream. Every daemon that folds the same
// records in offset order holds the same state, whether it began at the first
// record or at a snapshot.

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

// What one record did.
enum class FoldOutcome : uint8_t {
  // Its changes are in force.
  kApplied,
  // An item that its plan states had changed since the plan was made.
  kConflict,
  // The same plan or stamp was folded before.
  kDuplicate,
  // A snapshot of the state that the fold holds already.
  kSnapshot,
  // A snapshot that contradicts the state of the fold.
  kSnapshotDiffers,
  // It can't be parsed.
  kMalformed,
  // Its offset is not the next one, so the fold did not take it.
  kOutOfOrder,
};

// How a confirmed plan ended.
struct PlanOutcome {
  // The offset of the plan's first record.
  int64_t offset = -1;
  bool is_applied = false;

  auto operator<=>(const PlanOutcome&) const = default;
};

struct FoldResult {
  FoldOutcome outcome = FoldOutcome::kOutOfOrder;
  // The plan of a change record.
  std::string plan_id;
  // The first outdated item of a conflict, or what is malformed.
  std::string reason;

  auto operator<=>(const FoldResult&) const = default;
};

class ConfigurationFold {
 public:
  // Outcomes of the latest plans that the state keeps.
  static constexpr size_t kKeptOutcomes = 1024;
  // Revisions of removed items that the state keeps.
  static constexpr size_t kKeptRemovals = 4096;

  // The state in `snapshot`, the text of Snapshot().
  static absl::StatusOr<ConfigurationFold> FromSnapshot(
      std::string_view snapshot);

  // Folds the record at the next offset. A record that changes nothing still
  // moves the revision on.
  FoldResult Apply(const platform::LogRecord& record);

  const Configuration& configuration() const { return configuration_; }
  // Offset of the last record folded in, or -1.
  int64_t revision() const { return configuration_.revision; }

  // Offset of the last change of `item`; for an item that never existed, a
  // number that is below every later change.
  int64_t RevisionOf(const ItemKey& item) const;

  // How the plan ended; nullopt while no record of it is folded or after its
  // outcome was dropped.
  std::optional<PlanOutcome> OutcomeOf(const std::string& plan_id) const;

  // The whole state as text: the same bytes on every host at one revision.
  std::string Snapshot() const;

  bool operator==(const ConfigurationFold&) const = default;

 private:
  FoldResult ApplyChangeRecord(const ChangeRecord& record);
  FoldResult CompareSnapshot(const SnapshotRecord& record) const;
  // The first item whose revision is no longer that of the base.
  std::optional<ItemKey> FindOutdated(const ChangeRecord& record) const;
  void SetRevision(const Change& change);
  void NoteOutcome(const ChangeRecord& record, bool is_applied);
  void DropOldOutcomes();
  void DropOldRemovals();

  Configuration configuration_;
  std::map<ItemKey, int64_t> revisions_;
  // Removed items, which keep a revision so that an old plan can't revive them.
  std::set<std::pair<int64_t, ItemKey>> removals_;
  // The revision of all items that have no entry in `revisions_`.
  int64_t absent_revision_ = -1;
  std::map<std::string, PlanOutcome> outcomes_;
  std::map<int64_t, std::pair<std::string, RecordStamp>> outcomes_by_offset_;
  std::set<RecordStamp> stamps_;
};

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_FOLD_H_
