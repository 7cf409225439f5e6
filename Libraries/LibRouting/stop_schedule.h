// When a host that shuts down takes requests, and when it ends those that are
// left.
//
// Load pattern: hosts are stopped one after the other, also several at once,
// while callers keep the addresses that they know and may find no better one.
// For that time a stopping host goes on as before; nearly all that it takes
// then is complete before the process ends. Later it takes a request only if
// its answer is due by that end. Others are refused unrun, at once, since
// another host can still serve them in time. A request that was taken and still
// waits near that end is treated alike: sent, it would only be interrupted, and
// its caller could not tell whether it has run. Decision code without I/O: the
// caller supplies the time.

#ifndef LIBROUTING_STOP_SCHEDULE_H_
#define LIBROUTING_STOP_SCHEDULE_H_

#include <compare>

#include "LibCore/time.h"

namespace wasabi::routing {

struct StopPolicy {
  // Time from the stop signal until the process is killed.
  core::Duration grace{};
  // Maximum time for which callers go on using the address of the host.
  core::Duration address_lifetime{};

  auto operator<=>(const StopPolicy&) const = default;
};

class StopSchedule {
 public:
  // The host noticed the stop signal at `noticed_at`, and may have had it since
  // `signalled_after`: a process that stands still notices it late, while its
  // grace period goes on.
  StopSchedule(const StopPolicy& policy,
               core::TimePoint signalled_after,
               core::TimePoint noticed_at);

  // Since when the host counts its stop.
  core::TimePoint began_at() const { return began_at_; }
  // From this time on the host accepts no connections.
  core::TimePoint listens_until() const { return listens_until_; }
  // Requests that are still open at this time are ended by the host.
  core::TimePoint interrupts_at() const { return interrupts_at_; }
  // The process ends at this time, even if answers have not been sent.
  core::TimePoint ends_at() const { return ends_at_; }

  // Returns whether the host takes a request at `now` whose answer is due at
  // `due`.
  bool Takes(core::TimePoint now, core::TimePoint due) const {
    return now < takes_all_until_ ||
           (now < interrupts_at_ && due <= interrupts_at_);
  }

  // Returns whether a request that was taken is sent to an endpoint at `now` if
  // its answer is due at `due`. One that isn't sent is refused.
  bool Sends(core::TimePoint now, core::TimePoint due) const {
    return now < sends_all_until_ ||
           (now < interrupts_at_ && due <= interrupts_at_);
  }

  auto operator<=>(const StopSchedule&) const = default;

 private:
  StopSchedule(const StopPolicy& policy, core::TimePoint began_at);

  core::TimePoint began_at_;
  core::TimePoint listens_until_;
  core::TimePoint interrupts_at_;
  core::TimePoint sends_all_until_;
  core::TimePoint takes_all_until_;
  core::TimePoint ends_at_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_STOP_SCHEDULE_H_
