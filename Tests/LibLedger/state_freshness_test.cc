#include "LibLedger/state_freshness.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

namespace wasabi::ledger {
namespace {

using core::milliseconds;
using core::seconds;

const core::TimePoint kStart;
constexpr int64_t kWallMs = 1000000;

// A sequence of inputs and the expected answers of StateFreshness.
struct FreshnessCase {
  std::string name;
  std::function<void(StateFreshness*)> happen;
  // Expected results 10 s after the start, immediately after a tick.
  bool may_have_missed_records;
  bool has_settle_time_passed;
};

TEST_CASE("state freshness depends on pauses, other writers and outages") {
  const auto it = GENERATE(values<FreshnessCase>({
      {"nothing", [](StateFreshness*) {}, false, true},
      {"pause",
       [](StateFreshness* state) { state->OnTick(kStart + seconds(9)); }, true,
       false},
      {"one page since the pause",
       [](StateFreshness* state) {
         state->OnTick(kStart + seconds(9));
         state->OnCaughtUp();
       },
       true, false},
      {"two pages since the pause",
       [](StateFreshness* state) {
         state->OnTick(kStart + seconds(9));
         state->OnCaughtUp();
         state->OnCaughtUp();
       },
       false, true},
      {"other writer now",
       [](StateFreshness* state) {
         state->OnOtherWriterGroup(kStart, kWallMs, kWallMs);
       },
       true, true},
      {"other writer a minute ago",
       [](StateFreshness* state) {
         state->OnOtherWriterGroup(kStart, kWallMs, kWallMs - 60000);
       },
       false, true},
      {"outage that just ended",
       [](StateFreshness* state) { state->OnPlatformUp(kStart + seconds(8)); },
       false, false},
  }));
  CAPTURE(it.name);
  StateFreshness state(FreshnessOptions(), kStart);
  it.happen(&state);
  const bool was_paused = it.name.find("pause") != std::string::npos;
  const milliseconds first_tick = was_paused ? seconds(9) : milliseconds(0);
  for (milliseconds t = first_tick; t <= seconds(10); t += milliseconds(250)) {
    state.OnTick(kStart + t);
  }
  const core::TimePoint asked_at = kStart + seconds(10);
  CHECK(state.MayHaveMissedRecords(asked_at) == it.may_have_missed_records);
  CHECK(state.HasSettleTimePassed(asked_at) == it.has_settle_time_passed);
  CHECK(state.MayHaveMissedRecords(asked_at + seconds(2)));
}

}  // namespace
}  // namespace wasabi::ledger
