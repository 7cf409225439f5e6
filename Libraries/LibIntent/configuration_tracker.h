// Decides, without any input or output of its own, where to read the
// configuration stream next and what each page of it means: the normal fold,
// the search for a snapshot after the log has forgotten records, and a log
// that goes backwards.

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

// What one record of a page did.
struct FoldStep {
  platform::Offset offset = 0;
  FoldResult result;

  auto operator<=>(const FoldStep&) const = default;
};

// What one page did.
struct PageReport {
  std::vector<FoldStep> steps;
  // The applied offset grew.
  bool has_advanced = false;
  // The state came from a snapshot of the log.
  bool has_loaded_snapshot = false;
  // The log's end fell below an offset that was read earlier. Set once for
  // each fall, not for each page after it.
  bool has_gone_backwards = false;
};

class ConfigurationTracker {
 public:
  // The offset from which to read.
  platform::Offset next_offset() const;

  // Takes a page that was read from next_offset().
  PageReport OnPage(const platform::LogPage& page);

  // The log no longer keeps next_offset(): starts to look for a snapshot from
  // `first_kept` on. Meanwhile the state stays as it is.
  void OnForgotten(platform::Offset first_kept);

  // Takes the state of another daemon, the text of ConfigurationFold::Snapshot,
  // where it is newer; an older one changes nothing. Returns whether the
  // applied offset grew, or kMalformedRecord.
  absl::StatusOr<bool> Load(std::string_view snapshot);

  const ConfigurationFold& fold() const { return fold_; }
  // True while the records after the state are lost and no snapshot is found.
  bool is_searching() const { return is_searching_; }
  // Offset of the last snapshot record seen, or -1.
  platform::Offset last_snapshot_offset() const {
    return last_snapshot_offset_;
  }
  // The log's end as last read; 0 before the first page.
  platform::Offset log_end() const { return log_end_; }
  platform::Offset first_kept() const { return first_kept_; }

 private:
  bool NoteBounds(const platform::LogPage& page);
  void FoldRecord(const platform::LogRecord& record, PageReport* report);
  void SearchRecord(const platform::LogRecord& record, PageReport* report);

  ConfigurationFold fold_;
  bool is_searching_ = false;
  platform::Offset search_start_ = 0;
  // The records since the search began, without gaps.
  std::vector<platform::LogRecord> searched_;
  platform::Offset last_snapshot_offset_ = -1;
  platform::Offset log_end_ = 0;
  platform::Offset first_kept_ = 0;
  // The log's end while it is below next_offset().
  std::optional<platform::Offset> fallen_end_;
};

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_TRACKER_H_
