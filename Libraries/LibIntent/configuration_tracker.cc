#include "LibIntent/configuration_tracker.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "LibCore/try.h"
#include "LibIntent/configuration_record.h"

namespace wasabi::intent {

namespace {

bool IsSnapshot(const FoldResult& result) {
  return result.outcome == FoldOutcome::kSnapshot;
}

// Restores the fold from a snapshot record; returns an error for any other
// record.
absl::StatusOr<ConfigurationFold> FoldFromSnapshotRecord(
    const platform::LogRecord& record) {
  TRY_ASSIGN(const ConfigurationRecord parsed, ParseRecord(record.body));
  const auto* snapshot = std::get_if<SnapshotRecord>(&parsed);
  if (snapshot == nullptr) {
    return absl::NotFoundError("the record is not a snapshot");
  }
  return ConfigurationFold::FromSnapshot(snapshot->state);
}

}  // namespace

platform::Offset ConfigurationTracker::next_offset() const {
  if (is_searching_) {
    return search_start_ + static_cast<platform::Offset>(searched_.size());
  }
  return fold_.revision() + 1;
}

PageReport ConfigurationTracker::OnPage(const platform::LogPage& page) {
  PageReport report;
  report.has_gone_backwards = UpdateLogBounds(page);
  const platform::Offset old_revision = fold_.revision();
  for (const platform::LogRecord& record : page.records) {
    if (record.offset != next_offset()) {
      continue;
    }
    if (is_searching_) {
      TryLoadSnapshot(record, &report);
    } else {
      FoldRecord(record, &report);
    }
  }
  report.has_advanced = fold_.revision() > old_revision;
  return report;
}

bool ConfigurationTracker::UpdateLogBounds(const platform::LogPage& page) {
  log_end_ = page.end;
  first_kept_ = page.first_retained;
  if (page.end >= next_offset()) {
    regressed_end_.reset();
    return false;
  }
  const bool is_already_reported =
      regressed_end_ && page.end >= *regressed_end_;
  regressed_end_ = page.end;
  return !is_already_reported;
}

void ConfigurationTracker::FoldRecord(const platform::LogRecord& record,
                                      PageReport* report) {
  FoldResult result = fold_.Apply(record);
  if (IsSnapshot(result)) {
    last_snapshot_offset_ = record.offset;
  }
  report->steps.push_back({record.offset, std::move(result)});
}

void ConfigurationTracker::TryLoadSnapshot(const platform::LogRecord& record,
                                           PageReport* report) {
  searched_.push_back(record);
  absl::StatusOr<ConfigurationFold> found = FoldFromSnapshotRecord(record);
  // A snapshot whose revision is more than one offset before the start of the
  // search would leave a gap of missing records.
  if (!found.ok() || found->revision() < search_start_ - 1 ||
      found->revision() >= record.offset) {
    return;
  }
  ConfigurationFold fold = std::move(found).value();
  for (const platform::LogRecord& it : searched_) {
    if (it.offset > fold.revision()) {
      report->steps.push_back({it.offset, fold.Apply(it)});
    }
  }
  fold_ = std::move(fold);
  last_snapshot_offset_ = record.offset;
  report->has_loaded_snapshot = true;
  is_searching_ = false;
  searched_.clear();
}

void ConfigurationTracker::OnRecordsTruncated(platform::Offset first_retained) {
  if (first_retained <= next_offset()) {
    return;
  }
  is_searching_ = true;
  search_start_ = first_retained;
  searched_.clear();
}

absl::StatusOr<bool> ConfigurationTracker::Load(std::string_view snapshot) {
  TRY_ASSIGN(ConfigurationFold fold, ConfigurationFold::FromSnapshot(snapshot));
  if (fold.revision() <= fold_.revision()) {
    return false;
  }
  fold_ = std::move(fold);
  is_searching_ = false;
  searched_.clear();
  return true;
}

}  // namespace wasabi::intent
