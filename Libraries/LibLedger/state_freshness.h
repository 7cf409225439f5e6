// Judges whether a host's fold of a partition may lack records of another
// owner, in which case the host can't say that a key has not run.

#ifndef LIBLEDGER_STATE_FRESHNESS_H_
#define LIBLEDGER_STATE_FRESHNESS_H_

#include <cstdint>
#include <optional>

#include "LibCore/time.h"

namespace wasabi::ledger {

struct FreshnessOptions {
  // A host whose ticks are late by this much was paused.
  core::Duration pause_threshold = core::seconds(1);
  // How long after a record of another writer there may be another owner.
  core::Duration foreign_quiet = core::seconds(30);
  // Allowance for differences between the wall clocks of the hosts.
  core::Duration clock_tolerance = core::seconds(10);
  // How long other writers may take after an outage of the log to record what
  // ended meanwhile.
  core::Duration settle_timeout = core::seconds(5);
};

class StateFreshness {
 public:
  StateFreshness(const FreshnessOptions& options, core::TimePoint now);

  // To be called several times in each pause_threshold.
  void OnTick(core::TimePoint now);
  // The stream was folded up to its end.
  void OnCaughtUp();
  // A group of another writer was folded; the times are wall-clock times in
  // milliseconds since 1970.
  void OnForeignGroup(core::TimePoint now,
                      int64_t wall_now_ms,
                      int64_t wall_ms);
  // The log is readable again after an outage.
  void OnPlatformUp(core::TimePoint now) { up_since_ = now; }

  // Whether another owner may have written records that were not folded.
  bool MayHaveMissedRecords(core::TimePoint now) const;
  // Whether other writers had the time to record the ends of their calls.
  bool HasSettled(core::TimePoint now) const;

 private:
  const FreshnessOptions options_;
  core::TimePoint last_tick_at_;
  // Pages to read after a pause until the fold is current: the first may have
  // been on its way since before the pause.
  int pages_until_current_ = 0;
  // When the latest known group of another writer was written.
  std::optional<core::TimePoint> foreign_written_at_;
  core::TimePoint up_since_;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_STATE_FRESHNESS_H_
