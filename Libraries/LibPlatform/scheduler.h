// Clock and delayed tasks, as an interface so that tests can run in virtual
// time.

#ifndef LIBPLATFORM_SCHEDULER_H_
#define LIBPLATFORM_SCHEDULER_H_

#include <functional>

#include "LibCore/time.h"

namespace wasabi::platform {

class Scheduler {
 public:
  virtual ~Scheduler() = default;

  virtual core::TimePoint Now() const = 0;

  // Calls `task` once after `delay`, never from inside this call. A task can't
  // be cancelled, so it must hold weak references to the objects that it uses.
  virtual void CallAfter(core::Duration delay, std::function<void()> task) = 0;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_SCHEDULER_H_
