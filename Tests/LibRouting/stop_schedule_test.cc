#include "LibRouting/stop_schedule.h"

#include <catch2/catch.hpp>

namespace wasabi::routing {
namespace {

using core::milliseconds;
using core::seconds;

struct ScheduleCase {
  const char* what;
  StopPolicy policy;
  core::Duration takes_all;
  core::Duration listens;
  core::Duration sends_all;
  core::Duration interrupts;
  core::Duration ends;
};

TEST_CASE("a stopping host listens while callers may use its address") {
  const ScheduleCase cases[] = {
      {"the usual grace",
       {seconds(8), seconds(3)},
       milliseconds(2700),
       milliseconds(3400),
       milliseconds(6400),
       milliseconds(7200),
       milliseconds(7600)},
      {"addresses that outlive half of the grace",
       {seconds(4), seconds(3)},
       milliseconds(2700),
       milliseconds(2000),
       milliseconds(3200),
       milliseconds(3600),
       milliseconds(3800)},
      {"addresses that outlive the grace",
       {seconds(1), seconds(3)},
       milliseconds(800),
       milliseconds(500),
       milliseconds(800),
       milliseconds(900),
       milliseconds(950)},
  };
  const core::TimePoint start = core::TimePoint() + seconds(100);
  for (const ScheduleCase& it : cases) {
    INFO(it.what);
    const StopSchedule schedule(it.policy, start, start);
    CHECK(schedule.began_at() == start);
    CHECK(schedule.listens_until() == start + it.listens);
    CHECK(schedule.interrupts_at() == start + it.interrupts);
    CHECK(schedule.ends_at() == start + it.ends);
    const core::TimePoint late = start + it.interrupts + milliseconds(1);
    CHECK(schedule.Takes(start + it.takes_all - milliseconds(1), late));
    CHECK_FALSE(schedule.Takes(start + it.takes_all, late));
    if (it.takes_all < it.interrupts) {
      CHECK(schedule.Takes(start + it.takes_all, start + it.interrupts));
    }
    CHECK_FALSE(schedule.Takes(start + it.interrupts, start));
    CHECK(schedule.Sends(start + it.sends_all - milliseconds(1), late));
    CHECK_FALSE(schedule.Sends(start + it.sends_all, late));
    CHECK(schedule.Sends(start + it.sends_all, start + it.interrupts));
    CHECK_FALSE(schedule.Sends(start + it.interrupts, start));
  }
}

TEST_CASE("a stop counts from when the host may have had the signal") {
  struct NoticeCase {
    const char* what;
    core::Duration delay;
    core::Duration began;
  };
  const NoticeCase cases[] = {
      {"at once", milliseconds(0), milliseconds(0)},
      {"late", milliseconds(4000), milliseconds(0)},
      {"so late that 200 ms are left to serve", milliseconds(7000),
       milliseconds(0)},
      {"later still", milliseconds(9000), milliseconds(2000)},
  };
  const core::TimePoint start = core::TimePoint() + seconds(100);
  for (const NoticeCase& it : cases) {
    INFO(it.what);
    const StopPolicy policy = {seconds(8), seconds(3)};
    const core::TimePoint began = start + it.began;
    CHECK(StopSchedule(policy, start, start + it.delay) ==
          StopSchedule(policy, began, began));
  }
  // A grace period that is too short for that begins when it is noticed.
  const core::TimePoint late = start + seconds(1);
  const StopPolicy policy = {milliseconds(100), seconds(3)};
  CHECK(StopSchedule(policy, start, late).began_at() == late);
}

}  // namespace
}  // namespace wasabi::routing
