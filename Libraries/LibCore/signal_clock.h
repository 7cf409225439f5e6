// Bounds how long a process has had a signal that its event loop handles. A
// loop that stands still, because a callback takes long, the process is paused
// or gets no processor time, handles signals that much later.

#ifndef LIBCORE_SIGNAL_CLOCK_H_
#define LIBCORE_SIGNAL_CLOCK_H_

#include <memory>

#include "LibCore/event_loop.h"
#include "LibCore/time.h"

namespace wasabi::core {

class SignalClock {
 public:
  // To be created before the handlers of signals are set.
  explicit SignalClock(EventLoop* loop);

  // Returns, in the callback of a signal, a time before which the process did
  // not have that signal.
  TimePoint received_after() const { return waits_->previous_began_at; }

 private:
  // When the loop began to wait for events for the last time, and the time
  // before. A signal that the last wait reports, or that interrupted the one
  // before, did not come before that one began.
  struct Waits {
    TimePoint began_at;
    TimePoint previous_began_at;
  };

  const std::shared_ptr<Waits> waits_;
};

}  // namespace wasabi::core

#endif  // LIBCORE_SIGNAL_CLOCK_H_
