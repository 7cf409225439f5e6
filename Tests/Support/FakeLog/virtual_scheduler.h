// Virtual time: a queue of tasks whose clock jumps to the next one.

#ifndef TESTS_SUPPORT_FAKELOG_VIRTUAL_SCHEDULER_H_
#define TESTS_SUPPORT_FAKELOG_VIRTUAL_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "LibPlatform/scheduler.h"

namespace wasabi::testing {

class VirtualScheduler : public platform::Scheduler {
 public:
  core::TimePoint Now() const override { return now_; }
  void CallAfter(core::Duration delay, std::function<void()> task) override;

  // Runs the tasks that are due within `duration` and advances the clock.
  void RunFor(core::Duration duration);

 private:
  // Time of the task, then the order of the calls, so that runs repeat.
  using Key = std::pair<core::TimePoint, uint64_t>;

  core::TimePoint now_;
  uint64_t next_order_ = 0;
  std::map<Key, std::function<void()>> tasks_;
};

}  // namespace wasabi::testing

#endif  // TESTS_SUPPORT_FAKELOG_VIRTUAL_SCHEDULER_H_
