#include "LibIntent/configuration_fold.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibIntent/configuration_json.h"

namespace wasabi::intent {

namespace {

using nlohmann::json;

bool IsRemoval(const Change& change) {
  return std::holds_alternative<std::monostate>(change.value);
}

absl::Status ReadRevisions(const json& state,
                           std::map<ItemKey, int64_t>* revisions) {
  const json& value = MemberOf(state, "revisions");
  if (!value.is_object()) {
    return MakeMalformed("\"revisions\" is not a JSON object");
  }
  for (const auto& [name, revision] : value.items()) {
    TRY_ASSIGN(ItemKey item, ItemKey::Parse(name));
    if (!revision.is_number_integer()) {
      return MakeMalformed("a revision in \"revisions\" is not an integer");
    }
    (*revisions)[std::move(item)] = revision.get<int64_t>();
  }
  return absl::OkStatus();
}

// A retained plan outcome, as serialized in snapshots.
struct OutcomeEntry {
  std::string plan_id;
  RecordStamp stamp;
  PlanOutcome outcome;
};

json ToJson(const OutcomeEntry& it) {
  return {{"plan", it.plan_id},
          {"writer", it.stamp.writer},
          {"sequence", it.stamp.sequence},
          {"offset", it.outcome.offset},
          {"is_applied", it.outcome.is_applied}};
}

absl::StatusOr<OutcomeEntry> OutcomeFromJson(const json& value) {
  OutcomeEntry it;
  TRY(ReadMember(value, "plan", &it.plan_id));
  TRY(ReadMember(value, "writer", &it.stamp.writer));
  TRY(ReadMember(value, "sequence", &it.stamp.sequence));
  TRY(ReadMember(value, "offset", &it.outcome.offset));
  TRY(ReadMember(value, "is_applied", &it.outcome.is_applied));
  return it;
}

}  // namespace

absl::StatusOr<ConfigurationFold> ConfigurationFold::FromSnapshot(
    std::string_view snapshot) {
  TRY_ASSIGN(const json state, ParseJsonObject(snapshot));
  ConfigurationFold fold;
  TRY_ASSIGN(fold.configuration_,
             ConfigurationFromJson(MemberOf(state, "configuration")));
  TRY(ReadRevisions(state, &fold.revisions_));
  TRY(ReadMember(state, "absent_revision", &fold.absent_revision_));
  for (const auto& [item, revision] : fold.revisions_) {
    const ItemValue value = ValueOf(fold.configuration_, item);
    if (std::holds_alternative<std::monostate>(value)) {
      fold.removals_.emplace(revision, item);
    }
  }
  for (const json& value : MemberOf(state, "outcomes")) {
    TRY_ASSIGN(const OutcomeEntry it, OutcomeFromJson(value));
    fold.outcomes_[it.plan_id] = it.outcome;
    fold.outcomes_by_offset_[it.outcome.offset] = {it.plan_id, it.stamp};
    fold.stamps_.insert(it.stamp);
  }
  return fold;
}

FoldResult ConfigurationFold::Apply(const platform::LogRecord& record) {
  if (record.offset != revision() + 1) {
    return {FoldOutcome::kOutOfOrder, "",
            fmt::format("offset {} after {}", record.offset, revision())};
  }
  const absl::StatusOr<ConfigurationRecord> parsed = ParseRecord(record.body);
  if (parsed.ok() && std::holds_alternative<SnapshotRecord>(*parsed)) {
    FoldResult result = CompareSnapshot(std::get<SnapshotRecord>(*parsed));
    configuration_.revision = record.offset;
    return result;
  }
  configuration_.revision = record.offset;
  if (!parsed.ok()) {
    return {FoldOutcome::kMalformed, "", core::MessageOf(parsed.status())};
  }
  return ApplyChangeRecord(std::get<ChangeRecord>(*parsed));
}

FoldResult ConfigurationFold::ApplyChangeRecord(const ChangeRecord& record) {
  if (outcomes_.contains(record.plan_id) || stamps_.contains(record.stamp)) {
    return {FoldOutcome::kDuplicate, record.plan_id, ""};
  }
  const std::optional<ItemKey> stale_item = FindStaleItem(record);
  RecordOutcome(record, !stale_item.has_value());
  if (stale_item) {
    return {FoldOutcome::kConflict, record.plan_id, stale_item->ToString()};
  }
  for (const Change& change : record.changes) {
    ApplyChange(change, &configuration_);
    SetRevision(change);
  }
  EvictOldestRemovals();
  return {FoldOutcome::kApplied, record.plan_id, ""};
}

FoldResult ConfigurationFold::CompareSnapshot(
    const SnapshotRecord& record) const {
  const absl::StatusOr<ConfigurationFold> other = FromSnapshot(record.state);
  if (!other.ok()) {
    return {FoldOutcome::kMalformed, "", core::MessageOf(other.status())};
  }
  // Other records may have been appended between the snapshot's revision and
  // its own offset. The state at the snapshot's revision is then no longer
  // available for the comparison.
  if (other->revision() == revision() && *other != *this) {
    return {FoldOutcome::kSnapshotDiffers, "",
            fmt::format("revision {}", revision())};
  }
  return {FoldOutcome::kSnapshot, "", ""};
}

std::optional<ItemKey> ConfigurationFold::FindStaleItem(
    const ChangeRecord& record) const {
  for (const auto& [item, base_revision] : record.base) {
    if (RevisionOf(item) != base_revision) {
      return item;
    }
  }
  return std::nullopt;
}

int64_t ConfigurationFold::RevisionOf(const ItemKey& item) const {
  const auto it = revisions_.find(item);
  return it == revisions_.end() ? absent_revision_ : it->second;
}

std::optional<PlanOutcome> ConfigurationFold::OutcomeOf(
    const std::string& plan_id) const {
  const auto it = outcomes_.find(plan_id);
  if (it == outcomes_.end()) {
    return std::nullopt;
  }
  return it->second;
}

void ConfigurationFold::SetRevision(const Change& change) {
  removals_.erase({RevisionOf(change.item), change.item});
  revisions_[change.item] = revision();
  if (IsRemoval(change)) {
    removals_.emplace(revision(), change.item);
  }
}

void ConfigurationFold::RecordOutcome(const ChangeRecord& record,
                                      bool is_applied) {
  outcomes_[record.plan_id] = {revision(), is_applied};
  outcomes_by_offset_[revision()] = {record.plan_id, record.stamp};
  stamps_.insert(record.stamp);
  EvictOldestOutcomes();
}

void ConfigurationFold::EvictOldestOutcomes() {
  while (outcomes_by_offset_.size() > kMaxOutcomes) {
    const auto oldest = outcomes_by_offset_.begin();
    outcomes_.erase(oldest->second.first);
    stamps_.erase(oldest->second.second);
    outcomes_by_offset_.erase(oldest);
  }
}

void ConfigurationFold::EvictOldestRemovals() {
  while (removals_.size() > kMaxRemovals) {
    const auto oldest = removals_.begin();
    absent_revision_ = oldest->first;
    revisions_.erase(oldest->second);
    removals_.erase(oldest);
  }
}

std::string ConfigurationFold::Snapshot() const {
  json revisions = json::object();
  for (const auto& [item, revision] : revisions_) {
    revisions[item.ToString()] = revision;
  }
  json outcomes = json::array();
  for (const auto& [offset, kept] : outcomes_by_offset_) {
    outcomes.push_back(
        ToJson({kept.first, kept.second, outcomes_.at(kept.first)}));
  }
  return DumpJson({{"configuration", ConfigurationToJson(configuration_)},
                   {"revisions", std::move(revisions)},
                   {"absent_revision", absent_revision_},
                   {"outcomes", std::move(outcomes)}});
}

}  // namespace wasabi::intent
