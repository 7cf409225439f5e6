// Decides when this daemon appends a snapshot of the configuration. Pure.

#ifndef SERVICES_CONTROL_SNAPSHOT_SCHEDULE_H_
#define SERVICES_CONTROL_SNAPSHOT_SCHEDULE_H_

#include <cstdint>
#include <optional>

#include "LibCore/time.h"

namespace wasabi::control {

struct SnapshotOptions {
  // A snapshot is due after so many records without one.
  int64_t records = 1000;
  // It is due after this time without one, as the log may forget by time.
  core::Duration period = std::chrono::minutes(10);
  // Each control daemon waits this much longer than the one ranked before it,
  // so that usually one of them appends.
  core::Duration stagger = std::chrono::seconds(5);
};

// What the follower knows of the log.
struct SnapshotInput {
  // Offset of the last record that was applied, or -1.
  int64_t applied_offset = -1;
  // Offset of the last snapshot in the log, or -1.
  int64_t last_snapshot_offset = -1;
  // The oldest offset that the log keeps.
  int64_t first_kept = 0;
  // The log was read to its end and answers.
  bool is_current = false;
  // Position of this daemon in the order of those that may append.
  size_t rank = 0;

  auto operator<=>(const SnapshotInput&) const = default;
};

class SnapshotSchedule {
 public:
  explicit SnapshotSchedule(SnapshotOptions options) : options_(options) {}

  // Whether to append a snapshot now. After a true answer the next one comes
  // no earlier than a stagger later.
  bool IsDue(core::TimePoint now, const SnapshotInput& input);

 private:
  bool IsNeeded(core::TimePoint now, const SnapshotInput& input) const;

  const SnapshotOptions options_;
  int64_t seen_snapshot_ = -2;
  core::TimePoint snapshot_seen_at_;
  std::optional<core::TimePoint> needed_since_;
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_SNAPSHOT_SCHEDULE_H_
