// Decides where to read the configuration stream next and processes the pages,
// without performing I/O. Handles normal folding, the search for a snapshot
// after the log was truncated, and a log whose end moved backwards.

#ifndef LIBINTENT_CONFIGURATION_TRACKER_H_
#define LIBINTENT_CONFIGURATION_TRACKER_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "LibIntent/configuration_fold.h"
#include "LibPlatform/log_client.h"
#include "absl/status/status.h"

namespace wasabi::intent {

// The result of applying one record of a page.
struct FoldStep {
  platform::Offset offset = 0;
  FoldResult result;

  auto operator<=>(const FoldStep&) const = default;
};

// The result of processing one page.
struct PageReport {
  std::vector<FoldStep> steps;
  // The applied offset increased.
  bool has_advanced = false;
  // The state was restored from a snapshot record in the log.
  bool has_loaded_snapshot = false;
  // The end of the log moved below an offset that was already read. Set once
  // per backward move, not on every later page that still shows the lower end.
  bool has_gone_backwards = false;
};

class ConfigurationTracker {
 public:
  // The offset to read from next.
  platform::Offset next_offset() const;

  // Processes a page that was read from next_offset().
  PageReport OnPage(const platform::LogPage& page);

  // Handles the truncation of the log past next_offset(): starts searching for
  // a snapshot at `first_retained`. The state is unchanged until one is found.
  void OnRecordsTruncated(platform::Offset first_retained);

  // Adopts the state of another daemon, given as the output of
  // ConfigurationFold::Snapshot, if its revision is higher. Returns true if the
  // applied offset increased. Error: kMalformedRecord.
  absl::StatusOr<bool> Load(std::string_view snapshot);

  const ConfigurationFold& fold() const { return fold_; }
  // True while the records after the current state have been truncated and no
  // usable snapshot has been found.
  bool is_searching_snapshot() const { return is_searching_; }
  // Offset of the last valid snapshot record, or -1.
  platform::Offset last_snapshot_offset() const {
    return last_snapshot_offset_;
  }
  // The end of the log as of the last page; 0 before the first page.
  platform::Offset log_end() const { return log_end_; }
  // The first offset that the log retained as of the last page.
  platform::Offset first_retained() const { return first_kept_; }

 private:
  // Returns true if the end of the log newly moved backwards.
  bool UpdateLogBounds(const platform::LogPage& page);
  void FoldRecord(const platform::LogRecord& record, PageReport* report);
  // Buffers `record`. If it is a usable snapshot, restores the state from it,
  // applies the buffered records after it and ends the search.
  void TryLoadSnapshot(const platform::LogRecord& record, PageReport* report);

  ConfigurationFold fold_;
  bool is_searching_ = false;
  platform::Offset search_start_ = 0;
  // The contiguous records since `search_start_`.
  std::vector<platform::LogRecord> searched_;
  platform::Offset last_snapshot_offset_ = -1;
  platform::Offset log_end_ = 0;
  platform::Offset first_kept_ = 0;
  // The end of the log while it is below next_offset().
  std::optional<platform::Offset> regressed_end_;
};

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_TRACKER_H_
