// Keeps in the platform's store which prompt parts and which contents of
// requests are refused because they crash endpoints, so that a fleet that was
// killed as a whole still refuses them. It is decision code without I/O: the
// caller supplies the time, the rank of this host and functions that read and
// write the record.
//
// Load pattern: nothing is written while nothing crashes. All hosts restart at
// once; the first few read the record, and the crash exchange tells the others.
// A part that is refused is written once by the first host, and by a later one
// only if the record lacks it.
//
// A record is evidence, not a verdict: the crashes that speak against each
// part, with their ages. So a completion clears a part after a restart as
// before, and it expires with its crashes. No clock is compared across
// processes; each restart counts as some seconds, so that a part that is never
// seen again does not stay refused over any number of restarts.

#ifndef LIBFORWARDING_STORED_CRASHES_H_
#define LIBFORWARDING_STORED_CRASHES_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/message.h"
#include "LibCore/time.h"
#include "LibForwarding/crash_report.h"
#include "LibForwarding/crash_suspects.h"
#include "LibPlatform/keyed_topic_client.h"
#include "absl/status/statusor.h"

namespace wasabi::forwarding {

// Key of the record.
inline constexpr std::string_view kBlameKey = "refused_parts";

// The value of the record. Its layout is only extended at the end; older builds
// ignore what they do not know, and a record of theirs lacks it.
struct BlameRecord {
  std::vector<PartBlame> blames;
  std::vector<ContentBlame> contents = {};

  MSGPACK_DEFINE(blames, contents);
};

class StoredCrashes {
 public:
  // Starts to read the record. OnRead is called with the result.
  using ReadFunction = std::function<void()>;
  // Starts to write the record. OnWritten is called with the result.
  using WriteFunction = std::function<void(const std::string& value)>;

  // `suspects` must outlive this object. A fleet that starts for the first time
  // has no record.
  StoredCrashes(CrashSuspects* suspects,
                bool is_first_start,
                ReadFunction read,
                WriteFunction write);

  // Reads and writes what is due. `rank` is the place of this host in the order
  // of the hosts that keep records, or nullopt while it is unknown; `epoch` is
  // the present history of the platform's log. Must be called every few ten
  // milliseconds.
  void Tick(std::optional<size_t> rank,
            platform::LogEpoch epoch,
            core::TimePoint now);

  // Handles the result of a read. Returns the number of parts and contents that
  // the suspects were told of. Errors: that of the read; kMalformedMessage if
  // another writer left a record that is none, which then counts as empty.
  absl::StatusOr<size_t> OnRead(const absl::StatusOr<platform::KeyedPage>& page,
                                core::TimePoint now);
  void OnWritten(bool is_written, core::TimePoint now);

 private:
  // What is refused: sets of prompt parts, and contents, all sorted.
  struct Refused {
    std::vector<std::vector<uint64_t>> parts;
    std::vector<uint64_t> contents;

    bool empty() const { return parts.empty() && contents.empty(); }
    bool Includes(const Refused& other) const;
    auto operator<=>(const Refused&) const = default;
  };

  // Decides when a later host compares the record with what it refuses.
  void ScheduleCheck(size_t rank, core::TimePoint now);
  bool NeedsWrite(size_t rank, core::TimePoint now) const;
  void StartRead();
  void StartWrite(core::TimePoint now);
  // Returns what this host refuses.
  Refused RefusedNow(core::TimePoint now) const;
  // Returns the number of parts and contents.
  size_t Restore(const BlameRecord& record, core::TimePoint now);
  // Tells the suspects of the crashes that speak against `ids`.
  void RestoreCrashes(const SuspectIds& ids,
                      const std::vector<uint64_t>& crash_ids,
                      const std::vector<int64_t>& ages_milliseconds,
                      core::TimePoint now);

  CrashSuspects* const suspects_;
  const ReadFunction read_;
  const WriteFunction write_;
  bool has_read_ = false;
  bool is_busy_ = false;
  std::optional<size_t> rank_;
  platform::LogEpoch epoch_ = 0;
  // What this host refuses, and what the record held when it was last read or
  // written; nullopt if that may have changed.
  Refused refused_;
  std::optional<Refused> stored_;
  Refused writing_;
  core::TimePoint next_call_at_{};
  core::TimePoint refresh_at_{};
  // When a later host compares the record with what it refuses.
  std::optional<core::TimePoint> check_at_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_STORED_CRASHES_H_
