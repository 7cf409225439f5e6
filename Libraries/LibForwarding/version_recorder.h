// Decides when the record of the pools' versions is written, and by which host.
// It is decision code without I/O.
//
// Load pattern: an ordinary day has one version per pool and costs one write; a
// release costs one when a version appears and one when it has been gone for as
// long as a stream can live. The reader of the fleet writes. The next two hosts
// in its order check the record, and write if the reader did not: it may be cut
// off from the platform, or run an older build that writes no records.

#ifndef LIBFORWARDING_VERSION_RECORDER_H_
#define LIBFORWARDING_VERSION_RECORDER_H_

#include <cstdint>
#include <optional>

#include "LibCore/time.h"
#include "LibForwarding/origin_history.h"
#include "LibForwarding/origin_records.h"

namespace wasabi::forwarding {

// What a host has to do for the record of versions.
enum class VersionAction : uint8_t { kNone, kRead, kWrite };

class VersionRecorder {
 public:
  // `rank` is this host's position in the order of readers, or nullopt if it
  // does not know most of the fleet yet. `known` is the record as this host
  // last read or wrote it, `epoch` the present history of the platform's log.
  VersionAction Decide(std::optional<size_t> rank,
                       const std::optional<VersionRecord>& known,
                       const OriginHistory& history,
                       int64_t epoch,
                       core::TimePoint now);
  // Returns the record to write.
  static VersionRecord NewRecord(const OriginHistory& history,
                                 int64_t epoch,
                                 core::TimePoint now);
  // Records that a read or a write ended.
  void OnRead() { is_checked_ = true; }

 private:
  // Since when the known record lacks something.
  std::optional<core::TimePoint> outdated_since_;
  core::TimePoint next_action_at_{};
  // The record was read since it has become outdated.
  bool is_checked_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_VERSION_RECORDER_H_
