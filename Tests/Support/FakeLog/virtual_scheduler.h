// Schedules tasks in virtual time: the clock jumps to the due time of the next
// task.

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

  // Runs the tasks that become due within `duration` and advances the clock by
  // `duration`.
  void RunFor(core::Duration duration);
  // Advances the clock by `duration` as if the process stood still: tasks that
  // become due are late.
  void StandStill(core::Duration duration) { now_ += duration; }

 private:
  // Due time, then the order of the CallAfter calls, which makes runs
  // deterministic.
  using Key = std::pair<core::TimePoint, uint64_t>;

  core::TimePoint now_;
  uint64_t next_order_ = 0;
  std::map<Key, std::function<void()>> tasks_;
};

}  // namespace wasabi::testing

#endif  // TESTS_SUPPORT_FAKELOG_VIRTUAL_SCHEDULER_H_
