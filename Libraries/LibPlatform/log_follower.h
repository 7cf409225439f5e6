// Follows one stream of the log from an offset by long polling.
//
// A follower has at most one request in flight. It delivers each offset at most
// once and in ascending order. If the log reports an end before an offset that
// was already delivered, the follower delivers nothing until the end has caught
// up.

#ifndef LIBPLATFORM_LOG_FOLLOWER_H_
#define LIBPLATFORM_LOG_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/event.h"
#include "LibPlatform/backoff.h"
#include "LibPlatform/log_client.h"
#include "LibPlatform/scheduler.h"

namespace wasabi::platform {

struct LogFollowerOptions {
  std::string stream;
  // How long the log may hold a read while there is no record.
  core::Duration poll_wait = core::seconds(10);
  // The minimum time between the starts of two reads, unless the follower is
  // behind the end of the stream.
  core::Duration minimum_interval = core::milliseconds(20);
  core::Duration minimum_backoff = core::milliseconds(100);
  core::Duration maximum_backoff = core::seconds(2);
  // Seed of the backoff's jitter.
  uint64_t seed = 0;
};

// The callbacks of a follower; unset ones are skipped.
struct LogFollowerHandlers {
  // Receives the next records, of which the first is at the expected offset; no
  // records after a poll without new ones. `page.end` is the end of the stream.
  std::function<void(const LogPage& page)> on_page;
  // The records in [from, first_retained) are no longer retained; the follower
  // continues after them.
  std::function<void(Offset from, Offset first_retained)> on_records_truncated;
  // Receives kPlatformDown and kPlatformUp at each transition,
  // kLogWentBackwards once per regression of the log, and kRecordsTruncated.
  std::function<void(core::EventCode code, std::string_view detail)> on_event;
};

class LogFollower : public std::enable_shared_from_this<LogFollower> {
 public:
  // `client` and `scheduler` must outlive the follower.
  static std::shared_ptr<LogFollower> Create(LogClient* client,
                                             Scheduler* scheduler,
                                             const LogFollowerOptions& options,
                                             LogFollowerHandlers handlers);

  // Starts reading at offset `from`.
  void Start(Offset from);
  // Stops the follower; no handler is called afterwards.
  void Stop();

  // Returns the offset of the next record to deliver.
  Offset next() const { return next_; }
  // Returns false after a failed read, until a read succeeds again.
  bool is_up() const { return is_up_; }

 private:
  LogFollower(LogClient* client,
              Scheduler* scheduler,
              const LogFollowerOptions& options,
              LogFollowerHandlers handlers);

  void Read();
  void ReadAfter(core::Duration delay);
  void OnRead(const absl::StatusOr<LogPage>& page);
  void OnPage(const LogPage& page);
  void OnRegression(const LogPage& page);
  void OnFailure(const absl::Status& status);
  void FetchFirstRetained();
  void OnBounds(const absl::StatusOr<LogPage>& page);
  void SetAvailable(bool is_up, std::string_view detail);
  void Report(core::EventCode code, std::string_view detail);

  LogClient* client_;
  Scheduler* scheduler_;
  const LogFollowerOptions options_;
  LogFollowerHandlers handlers_;
  Backoff backoff_;
  Offset next_ = 0;
  core::TimePoint read_started_at_;
  bool is_stopped_ = true;
  bool is_up_ = true;
  bool has_regressed_ = false;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_LOG_FOLLOWER_H_
