#include "Tests/Support/FakeLog/host_scheduler.h"

#include <utility>

namespace wasabi::testing {

HostScheduler::HostScheduler(VirtualScheduler* scheduler)
    : scheduler_(scheduler) {}

void HostScheduler::CallAfter(core::Duration delay,
                              std::function<void()> task) {
  scheduler_->CallAfter(delay, [state = state_, task = std::move(task)] {
    if (state->is_crashed) {
      return;
    }
    if (state->is_paused) {
      state->deferred_tasks.push_back(task);
      return;
    }
    task();
  });
}

void HostScheduler::Pause() {
  state_->is_paused = true;
}

void HostScheduler::Resume() {
  state_->is_paused = false;
  const std::vector<std::function<void()>> tasks =
      std::exchange(state_->deferred_tasks, {});
  for (const std::function<void()>& task : tasks) {
    CallAfter(core::Duration::zero(), task);
  }
}

void HostScheduler::Crash() {
  state_->is_crashed = true;
  state_->deferred_tasks.clear();
}

}  // namespace wasabi::testing
