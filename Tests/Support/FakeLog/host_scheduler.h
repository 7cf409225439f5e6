// Schedules the tasks of one simulated host, which can be paused or crashed.

#ifndef TESTS_SUPPORT_FAKELOG_HOST_SCHEDULER_H_
#define TESTS_SUPPORT_FAKELOG_HOST_SCHEDULER_H_

#include <functional>
#include <memory>
#include <vector>

#include "LibPlatform/scheduler.h"
#include "Tests/Support/FakeLog/virtual_scheduler.h"

namespace wasabi::testing {

class HostScheduler : public platform::Scheduler {
 public:
  // `scheduler` must outlive this object.
  explicit HostScheduler(VirtualScheduler* scheduler);

  core::TimePoint Now() const override { return scheduler_->Now(); }
  void CallAfter(core::Duration delay, std::function<void()> task) override;

  // Defers all due tasks until Resume().
  void Pause();
  // Schedules the deferred tasks in their order.
  void Resume();
  // Drops all deferred, pending and future tasks.
  void Crash();

 private:
  struct State {
    bool is_paused = false;
    bool is_crashed = false;
    std::vector<std::function<void()>> deferred_tasks;
  };

  VirtualScheduler* scheduler_;
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace wasabi::testing

#endif  // TESTS_SUPPORT_FAKELOG_HOST_SCHEDULER_H_
