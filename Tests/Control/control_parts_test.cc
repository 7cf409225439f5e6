// Unit tests of the parts of the control daemon that need no process: plan
// store, snapshot schedule, in-force count and settings.

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "Services/Control/confirm_session.h"
#include "Services/Control/control_settings.h"
#include "Services/Control/plan_store.h"
#include "Services/Control/snapshot_schedule.h"

namespace wasabi::control {
namespace {

using core::seconds;

constexpr core::TimePoint kStart = core::TimePoint() + seconds(1000);

TEST_CASE("plans are found until they expire or newer plans evict them") {
  PlanStore store(seconds(10), 2);
  for (const char* id : {"a", "b", "c"}) {
    intent::Plan plan;
    plan.id = id;
    store.Add(kStart, plan);
  }
  CHECK(core::CodeOf(store.Find(kStart, "a").status()) ==
        core::ResultCode::kUnknownPlan);
  CHECK(store.Find(kStart + seconds(10), "c").ok());
  CHECK(core::CodeOf(store.Find(kStart + seconds(11), "c").status()) ==
        core::ResultCode::kPlanExpired);
}

TEST_CASE(
    "a snapshot is due after enough records, after enough time, or when "
    "the log has removed the last one") {
  struct Case {
    SnapshotInput input;
    core::Duration waited;
    bool is_due;
  };
  const SnapshotOptions options{100, seconds(60), seconds(5)};
  const std::vector<Case> cases = {
      {{50, 0, 0, true, 0}, seconds(1), false},
      {{100, 0, 0, true, 0}, seconds(1), true},
      {{100, 0, 0, true, 1}, seconds(1), false},
      {{100, 0, 0, true, 1}, seconds(5), true},
      {{100, 0, 0, false, 0}, seconds(1), false},
      {{50, 0, 0, true, 0}, seconds(60), true},
      {{50, 0, 20, true, 0}, seconds(1), true},
      {{50, 30, 20, true, 0}, seconds(1), false},
      {{-1, -1, 0, true, 0}, seconds(60), false},
  };
  for (const Case& it : cases) {
    CAPTURE(it.input.applied_offset, it.input.rank, it.input.first_retained);
    SnapshotSchedule schedule(options);
    schedule.IsDue(kStart, {it.input.last_snapshot_offset,
                            it.input.last_snapshot_offset, 0, true, 0});
    // The first call starts the wait of a daemon whose rank is above 0.
    const bool is_due_at_once = schedule.IsDue(kStart, it.input);
    CHECK((is_due_at_once || schedule.IsDue(kStart + it.waited, it.input)) ==
          it.is_due);
  }
}

TEST_CASE("a host counts as in force if its applied offset is high enough") {
  std::vector<membership::Member> members(3);
  for (size_t i = 0; i < members.size(); ++i) {
    members[i].id = core::HostId("host-" + std::to_string(i));
    members[i].applied_offset = static_cast<int64_t>(i) * 10;
  }
  const InForceCount count = CountInForce(membership::MemberTable(members), 10);
  CHECK(count == InForceCount{2, 3, {"host-0"}});
}

TEST_CASE("result codes map to distinct exit statuses") {
  constexpr int kExitStatuses = 256;
  std::set<int> seen;
  for (const core::ResultCodeEntry& entry : core::ResultCodeTable()) {
    CAPTURE(entry.name);
    const int status = static_cast<int>(entry.code) % kExitStatuses;
    CHECK(seen.insert(status).second);
    CHECK((status == 0) == (entry.code == core::ResultCode::kOk));
  }
}

TEST_CASE("docs/SETTINGS.md lists every setting of the control daemon") {
  std::ifstream file(std::string(WASABI_SOURCE_DIR) + "/docs/SETTINGS.md");
  std::stringstream page;
  page << file.rdbuf();
  CHECK_THAT(
      page.str(),
      Catch::Contains(core::SettingsToMarkdown(ControlSettingsSchema())));
}

}  // namespace
}  // namespace wasabi::control
