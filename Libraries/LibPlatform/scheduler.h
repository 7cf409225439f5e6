// Time and delayed tasks, injected so that tests can run in virtual time.

#ifndef LIBPLATFORM_SCHEDULER_H_
#define LIBPLATFORM_SCHEDULER_H_

#include <functional>

#include "LibCore/time.h"

namespace wasabi::platform {

class Scheduler {
 public:
  virtual ~Scheduler() = default;

  virtual core::TimePoint Now() const = 0;

  // Calls `task` once, `delay` from now and never inside this call. A task
  // can't be cancelled: it holds what it touches weakly.
  virtual void CallAfter(core::Duration delay, std::function<void()> task) = 0;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_SCHEDULER_H_
