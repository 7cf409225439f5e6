#include "Tests/Support/FakeLog/virtual_scheduler.h"

#include <algorithm>

namespace wasabi::testing {

void VirtualScheduler::CallAfter(core::Duration delay,
                                 std::function<void()> task) {
  const core::TimePoint due = now_ + std::max(delay, core::Duration::zero());
  tasks_.emplace(Key(due, next_order_++), std::move(task));
}

void VirtualScheduler::RunFor(core::Duration duration) {
  const core::TimePoint end = now_ + duration;
  while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
    auto node = tasks_.extract(tasks_.begin());
    now_ = std::max(now_, node.key().first);
    node.mapped()();
  }
  now_ = end;
}

}  // namespace wasabi::testing
