// An endpoint that leaves gets no new work after a few seconds, by its own
// executions, whatever the host list shows; when it returns it works again.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/Scenario/load_verdict.h"
#include "Tests/Support/Scenario/scenario.h"
#include "Tests/Support/execution_log.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {
namespace {

// The bound: nothing starts later than this after the engine began to leave.
constexpr int64_t kBoundNs = 3'000'000'000;
// Executions elsewhere after the bound that make up the time of observation.
constexpr size_t kObservedStarts = 30;
constexpr core::Duration kObservationTimeout = std::chrono::seconds(20);
constexpr core::Duration kReturnTimeout = std::chrono::seconds(20);
constexpr core::Duration kLoadTimeout = std::chrono::seconds(60);
// Longer than the bound, so that the list can't be what keeps it.
constexpr const char* kHostListLagFlag = "--host_list_lag_ms=4000";
constexpr int kReportsLeavingMs = 60000;

const std::string kLeaver = "engine-1";

enum class Departure {
  // Its load report says so, and it goes on taking requests.
  kReported,
  // SIGTERM: it refuses requests, finishes what runs and exits.
  kStopped,
  // An operator drains it.
  kDrained,
};

struct Leave {
  const char* name;
  Departure departure;
  bool has_surge;
  core::Duration load_time;
};

size_t StartsAfter(const Fleet& fleet,
                   const std::string& engine,
                   int64_t time_ns) {
  const auto executions = ReadExecutionFile(
      fmt::format("{}/{}.executions", fleet.work_folder(), engine));
  if (!executions.ok()) {
    return 0;
  }
  return static_cast<size_t>(std::count_if(
      executions->begin(), executions->end(),
      [&](const Execution& it) { return it.start_ns > time_ns; }));
}

size_t StartsElsewhereAfter(const Fleet& fleet, int64_t time_ns) {
  size_t starts = 0;
  for (int i = 2; i <= fleet.options().engines; ++i) {
    starts += StartsAfter(fleet, fmt::format("engine-{}", i), time_ns);
  }
  return starts;
}

void RunWasabictl(const Fleet& fleet, const std::string& command) {
  const auto process =
      ChildProcess::Start({fleet.options().binary_folder + "/wasabictl",
                           "--control=" + JoinAddresses(fleet.controls()),
                           "--yes", "--operator_name=test", command, kLeaver},
                          fleet.work_folder() + "/wasabictl.log");
  REQUIRE(process.ok());
  const auto exit = (*process)->Wait(kReturnTimeout);
  REQUIRE(exit.has_value());
  REQUIRE(exit->code == 0);
}

void PlantLeave(const Fleet& fleet, int duration_ms) {
  const auto response =
      PostNow(fleet.AddressOf(kLeaver), "/faults",
              {{"kind", "leave"}, {"duration_ms", duration_ms}});
  REQUIRE(response.ok());
  REQUIRE(response->status == kHttpOk);
}

void BeginLeaving(Fleet* fleet, Departure departure) {
  switch (departure) {
    case Departure::kReported:
      PlantLeave(*fleet, kReportsLeavingMs);
      return;
    case Departure::kStopped:
      REQUIRE(fleet->Signal(kLeaver, SIGTERM).ok());
      return;
    case Departure::kDrained:
      RunWasabictl(*fleet, "drain");
      return;
  }
}

void Return(Fleet* fleet, Departure departure) {
  switch (departure) {
    case Departure::kReported:
      PlantLeave(*fleet, 0);
      return;
    case Departure::kStopped: {
      const auto exit = fleet->WaitForExit(kLeaver, kReturnTimeout);
      REQUIRE(exit.ok());
      CHECK(exit->ToString() == (ProcessExit{0, 0}.ToString()));
      REQUIRE(fleet->Restart(kLeaver).ok());
      return;
    }
    case Departure::kDrained:
      RunWasabictl(*fleet, "undrain");
      return;
  }
}

ScenarioLoad LoadOf(const Leave& leave) {
  ScenarioLoad load;
  load.duration = leave.load_time;
  if (leave.has_surge) {
    load.more_settings =
        "[surge]\norganisations = quito-schools\nduration_ms = 9000\n"
        "factor = 5\n";
  }
  return load;
}

TEST_CASE("an endpoint that leaves gets nothing new until it returns") {
  const auto leave = GENERATE(
      values<Leave>({{"its report says so in a surge", Departure::kReported,
                      true, std::chrono::seconds(9)},
                     {"it stops and the host list lags", Departure::kStopped,
                      false, std::chrono::seconds(13)},
                     {"an operator drains it", Departure::kDrained, false,
                      std::chrono::seconds(9)}}));
  CAPTURE(leave.name);
  FleetOptions options = SmallFleet();
  // Keeps the routers' shutdown at the end short.
  options.router_settings["callers"]["host_answer_lifetime_ms"] = "500";
  if (leave.departure == Departure::kStopped) {
    options.platform_flags = {kHostListLagFlag};
  }
  auto scenario = Scenario::Create(options);
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  const ScenarioLoad load = LoadOf(leave);
  CAPTURE(load.seed);
  REQUIRE((*scenario)->StartLoad(load).ok());
  REQUIRE(WaitUntil([&] { return StartsAfter(fleet, kLeaver, 0) > 5; },
                    kObservationTimeout));

  BeginLeaving(&fleet, leave.departure);
  const int64_t left_ns = MonotonicNanoseconds();
  CHECK(WaitUntil(
      [&] {
        return StartsElsewhereAfter(fleet, left_ns + kBoundNs) >=
               kObservedStarts;
      },
      kObservationTimeout));
  const size_t late_starts = StartsAfter(fleet, kLeaver, left_ns + kBoundNs);
  INFO((late_starts > 0 ? (*scenario)->TimeLine() : ""));
  CHECK(late_starts == 0);

  Return(&fleet, leave.departure);
  const int64_t returned_ns = MonotonicNanoseconds();
  CHECK(WaitUntil([&] { return StartsAfter(fleet, kLeaver, returned_ns) > 0; },
                  kReturnTimeout));
  const auto result = (*scenario)->FinishLoad(kLoadTimeout);
  INFO(result.status().ToString());
  REQUIRE(result.ok());
  INFO(result->dump());
  CHECK(WrongCounts(*result).empty());
  CHECK(fleet.Stop().ok());
}

}  // namespace
}  // namespace wasabi::support
