// Follows one stream of the log from an offset on, by long polls.
//
// A follower has at most one request in flight. It hands on each offset at
// most once and in ascending order; a log that answers with an end before an
// offset already handed on changes nothing until its end has caught up.

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
  // How long the log may hold a read that has no record.
  core::Duration poll_wait = core::seconds(10);
  // The least time between the starts of two reads, unless the reader is
  // behind the end of the stream.
  core::Duration minimum_interval = core::milliseconds(20);
  core::Duration minimum_backoff = core::milliseconds(100);
  core::Duration maximum_backoff = core::seconds(2);
  // Seed of the backoff's jitter.
  uint64_t seed = 0;
};

// What the owner of a follower hears; unset functions are skipped.
struct LogFollowerHandlers {
  // The next records, whose first has the offset that was due; none after a
  // poll that brought nothing. `page.end` tells how far the stream goes.
  std::function<void(const LogPage& page)> on_page;
  // The records in [from, first_kept) are lost; the follower goes on after
  // them.
  std::function<void(Offset from, Offset first_kept)> on_forgotten;
  // kPlatformDown and kPlatformUp at each change, kLogWentBackwards once each
  // time that it is noticed, kRecordsForgotten.
  std::function<void(core::EventCode code, std::string_view detail)> on_event;
};

class LogFollower : public std::enable_shared_from_this<LogFollower> {
 public:
  // `client` and `scheduler` must outlive the follower.
  static std::shared_ptr<LogFollower> Create(LogClient* client,
                                             Scheduler* scheduler,
                                             const LogFollowerOptions& options,
                                             LogFollowerHandlers handlers);

  // Begins to read at offset `from`.
  void Start(Offset from);
  // Ends the follower; no handler is called any more.
  void Stop();

  // The offset that is handed on next.
  Offset next() const { return next_; }
  // Whether the latest answer of the log was one.
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
  void OnBackwards(const LogPage& page);
  void OnFailure(const absl::Status& status);
  void FindFirstKept();
  void OnBounds(const absl::StatusOr<LogPage>& page);
  void SetUp(bool is_up, std::string_view detail);
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
  bool is_backwards_ = false;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_LOG_FOLLOWER_H_
