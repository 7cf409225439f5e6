// Decides when this daemon appends a snapshot of the configuration to the log.
// Performs no I/O.

#ifndef SERVICES_CONTROL_SNAPSHOT_SCHEDULE_H_
#define SERVICES_CONTROL_SNAPSHOT_SCHEDULE_H_

#include <cstdint>
#include <optional>

#include "LibCore/time.h"

namespace wasabi::control {

struct SnapshotOptions {
  // A snapshot is due after this many records without one.
  int64_t records = 1000;
  // A snapshot is due after this time without one, since the log may remove
  // records by age.
  core::Duration period = std::chrono::minutes(10);
  // Each control daemon waits this much longer than the one ranked before it,
  // so that usually only one of them appends.
  core::Duration stagger = std::chrono::seconds(5);
};

// The state of the log as read by the follower, and the rank of this daemon.
struct SnapshotInput {
  // Offset of the last applied record, or -1 if there is none.
  int64_t applied_offset = -1;
  // Offset of the last snapshot in the log, or -1 if there is none.
  int64_t last_snapshot_offset = -1;
  // The oldest offset that the log retains.
  int64_t first_retained = 0;
  // True if the log is reachable and was read to its end.
  bool is_current = false;
  // Position of this daemon among the control daemons that may append, from 0.
  size_t rank = 0;

  auto operator<=>(const SnapshotInput&) const = default;
};

class SnapshotSchedule {
 public:
  explicit SnapshotSchedule(SnapshotOptions options) : options_(options) {}

  // Returns whether to append a snapshot now. After it has returned true, it
  // returns true again one `stagger` later at the earliest.
  bool IsDue(core::TimePoint now, const SnapshotInput& input);

 private:
  bool IsNeeded(core::TimePoint now, const SnapshotInput& input) const;

  const SnapshotOptions options_;
  // SnapshotInput::last_snapshot_offset of the last call. Before the first call
  // it is -2, which no input has.
  int64_t last_seen_snapshot_ = -2;
  core::TimePoint snapshot_seen_at_;
  // Start of the wait for this daemon's rank, while a snapshot is needed. Lies
  // in the future after an append was started.
  std::optional<core::TimePoint> needed_since_;
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_SNAPSHOT_SCHEDULE_H_
