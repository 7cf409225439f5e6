#include "Services/Control/snapshot_schedule.h"

namespace wasabi::control {

bool SnapshotSchedule::IsNeeded(core::TimePoint now,
                                const SnapshotInput& input) const {
  const int64_t records = input.applied_offset - input.last_snapshot_offset;
  // The log has removed records and retains no snapshot that replaces them.
  const bool is_lost = input.first_retained > 0 &&
                       input.last_snapshot_offset < input.first_retained;
  return is_lost || records >= options_.records ||
         now - snapshot_seen_at_ >= options_.period;
}

bool SnapshotSchedule::IsDue(core::TimePoint now, const SnapshotInput& input) {
  if (input.last_snapshot_offset != last_seen_snapshot_) {
    last_seen_snapshot_ = input.last_snapshot_offset;
    snapshot_seen_at_ = now;
    needed_since_.reset();
  }
  const bool can_append = input.is_current && input.applied_offset >= 0;
  if (!can_append || !IsNeeded(now, input)) {
    needed_since_.reset();
    return false;
  }
  if (!needed_since_) {
    needed_since_ = now;
  }
  const core::Duration wait =
      options_.stagger * static_cast<int64_t>(input.rank);
  if (now - *needed_since_ < wait) {
    return false;
  }
  // If this append fails, the next attempt waits for the stagger and the rank
  // again.
  needed_since_ = now + options_.stagger;
  return true;
}

}  // namespace wasabi::control
