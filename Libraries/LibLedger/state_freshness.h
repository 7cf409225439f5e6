// Determines whether a host's state of a partition may lack records of another
// owner. While it may, the host cannot report that a key has not run.

#ifndef LIBLEDGER_STATE_FRESHNESS_H_
#define LIBLEDGER_STATE_FRESHNESS_H_

#include <cstdint>
#include <optional>

#include "LibCore/time.h"

namespace wasabi::ledger {

// Thresholds of StateFreshness.
struct FreshnessOptions {
  // A host is considered paused if the time since its last tick exceeds this.
  core::Duration pause_threshold = core::seconds(1);
  // How long after the last record of another writer this host assumes that
  // another owner may still be active.
  core::Duration other_writer_timeout = core::seconds(30);
  // Maximum assumed difference between the wall clocks of two hosts.
  core::Duration clock_tolerance = core::seconds(10);
  // Time that other writers get after an outage of the log to record the
  // outcomes of calls that completed during the outage.
  core::Duration settle_timeout = core::seconds(5);
};

// Tracks pauses of this host, activity of other writers and outages of the log.
class StateFreshness {
 public:
  StateFreshness(const FreshnessOptions& options, core::TimePoint now);

  // Must be called several times per pause_threshold.
  void OnTick(core::TimePoint now);
  // Records that a page up to the current end of the stream was applied.
  void OnCaughtUp();
  // Records that a group of another writer was applied. `wall_now_ms` is this
  // host's wall-clock time and `wall_ms` is the time in the group, both in
  // milliseconds since 1970.
  void OnOtherWriterGroup(core::TimePoint now,
                          int64_t wall_now_ms,
                          int64_t wall_ms);
  // Records that the log is readable again after an outage.
  void OnPlatformUp(core::TimePoint now) { up_since_ = now; }

  // Returns true if another owner may have written records that this host has
  // not applied.
  bool MayHaveMissedRecords(core::TimePoint now) const;
  // Returns true if other writers have had settle_timeout to record their
  // outcomes since the last outage and this host is current after its last
  // pause.
  bool HasSettleTimePassed(core::TimePoint now) const;

 private:
  const FreshnessOptions options_;
  core::TimePoint last_tick_at_;
  // Number of pages that this host must still read after a pause until its
  // state is current. One page is not enough because it may have been in flight
  // since before the pause.
  int pages_until_current_ = 0;
  // When the latest known group of another writer was written, on this host's
  // monotonic clock.
  std::optional<core::TimePoint> other_writer_active_at_;
  // When the log last became readable after an outage.
  core::TimePoint up_since_;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_STATE_FRESHNESS_H_
