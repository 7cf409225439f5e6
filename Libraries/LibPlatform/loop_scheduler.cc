#include "LibPlatform/loop_scheduler.h"

#include <algorithm>
#include <utility>

namespace wasabi::platform {

LoopScheduler::LoopScheduler(core::EventLoop* loop) : loop_(loop) {}

void LoopScheduler::CallAfter(core::Duration delay,
                              std::function<void()> task) {
  const auto it = timers_.insert(timers_.end(), nullptr);
  *it = loop_->NewTimer([this, it, task = std::move(task)] {
    timers_.erase(it);
    task();
  });
  (*it)->StartOnce(std::max(delay, core::Duration::zero()));
}

}  // namespace wasabi::platform
