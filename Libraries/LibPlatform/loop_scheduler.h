// The scheduler of a real process, based on its event loop.

#ifndef LIBPLATFORM_LOOP_SCHEDULER_H_
#define LIBPLATFORM_LOOP_SCHEDULER_H_

#include <functional>
#include <list>
#include <memory>

#include "LibCore/event_loop.h"
#include "LibPlatform/scheduler.h"

namespace wasabi::platform {

class LoopScheduler : public Scheduler {
 public:
  // `loop` must outlive this object, whose destructor discards the pending
  // tasks.
  explicit LoopScheduler(core::EventLoop* loop);

  core::TimePoint Now() const override { return loop_->Now(); }
  void CallAfter(core::Duration delay, std::function<void()> task) override;

 private:
  core::EventLoop* loop_;
  std::list<std::unique_ptr<core::Timer>> timers_;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_LOOP_SCHEDULER_H_
