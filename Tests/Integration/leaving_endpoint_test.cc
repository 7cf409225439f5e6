// Checks that a leaving endpoint starts no new requests after a few seconds,
// even if the host list still contains it, and that it receives requests again
// after it returns. Starts are counted in the endpoint's own execution file.

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

// No execution may start later than this after the engine began to leave.
constexpr int64_t kBoundNs = 3'000'000'000;
// The observation ends after this many executions on other engines that start
// after the bound.
constexpr size_t kObservedStarts = 30;
constexpr core::Duration kObservationTimeout = std::chrono::seconds(20);
constexpr core::Duration kReturnTimeout = std::chrono::seconds(20);
constexpr core::Duration kLoadTimeout = std::chrono::seconds(60);
// Exceeds the bound, so that an update of the host list cannot be what stops
// new requests.
constexpr const char* kHostListLagFlag = "--host_list_lag_ms=4000";
constexpr int kReportsLeavingMs = 60000;

const std::string kLeavingEngine = "engine-1";

enum class Departure {
  // Its load report says that it is leaving, and it still accepts requests.
  kReported,
  // It receives SIGTERM, refuses requests, completes the running ones and
  // exits.
  kStopped,
  // An operator drains it with wasabictl.
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
  const auto process = ChildProcess::Start(
      {fleet.options().binary_folder + "/wasabictl",
       "--control=" + JoinAddresses(fleet.controls()), "--yes",
       "--operator_name=test", command, kLeavingEngine},
      fleet.work_folder() + "/wasabictl.log");
  REQUIRE(process.ok());
  const auto exit = (*process)->Wait(kReturnTimeout);
  REQUIRE(exit.has_value());
  REQUIRE(exit->code == 0);
}

void InjectLeave(const Fleet& fleet, int duration_ms) {
  const auto response =
      PostNow(fleet.AddressOf(kLeavingEngine), "/faults",
              {{"kind", "leave"}, {"duration_ms", duration_ms}});
  REQUIRE(response.ok());
  REQUIRE(response->status == kHttpOk);
}

void BeginLeaving(Fleet* fleet, Departure departure) {
  switch (departure) {
    case Departure::kReported:
      InjectLeave(*fleet, kReportsLeavingMs);
      return;
    case Departure::kStopped:
      REQUIRE(fleet->Signal(kLeavingEngine, SIGTERM).ok());
      return;
    case Departure::kDrained:
      RunWasabictl(*fleet, "drain");
      return;
  }
}

void Return(Fleet* fleet, Departure departure) {
  switch (departure) {
    case Departure::kReported:
      InjectLeave(*fleet, 0);
      return;
    case Departure::kStopped: {
      const auto exit = fleet->WaitForExit(kLeavingEngine, kReturnTimeout);
      REQUIRE(exit.ok());
      CHECK(exit->ToString() == (ProcessExit{0, 0}.ToString()));
      REQUIRE(fleet->Restart(kLeavingEngine).ok());
      return;
    }
    case Departure::kDrained:
      RunWasabictl(*fleet, "undrain");
      return;
  }
}

ScenarioLoad MakeLoad(const Leave& leave) {
  ScenarioLoad load;
  load.duration = leave.load_time;
  if (leave.has_surge) {
    load.more_settings =
        "[surge]\norganisations = quito-schools\nduration_ms = 9000\n"
        "factor = 5\n";
  }
  return load;
}

TEST_CASE("a leaving endpoint receives no new requests until it returns") {
  const auto leave = GENERATE(
      values<Leave>({{"its load report says that it is leaving during a surge",
                      Departure::kReported, true, std::chrono::seconds(9)},
                     {"it stops while the host list is stale",
                      Departure::kStopped, false, std::chrono::seconds(13)},
                     {"an operator drains it", Departure::kDrained, false,
                      std::chrono::seconds(9)}}));
  CAPTURE(leave.name);
  FleetOptions options = SmallFleetOptions();
  // Keeps the graceful shutdown of the routers at the end short.
  options.router_settings["callers"]["host_answer_lifetime_ms"] = "500";
  if (leave.departure == Departure::kStopped) {
    options.platform_flags = {kHostListLagFlag};
  }
  auto scenario = Scenario::Create(options);
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  const ScenarioLoad load = MakeLoad(leave);
  CAPTURE(load.seed);
  REQUIRE((*scenario)->StartLoad(load).ok());
  REQUIRE(WaitUntil([&] { return StartsAfter(fleet, kLeavingEngine, 0) > 5; },
                    kObservationTimeout));

  BeginLeaving(&fleet, leave.departure);
  const int64_t left_ns = MonotonicNanoseconds();
  CHECK(WaitUntil(
      [&] {
        return StartsElsewhereAfter(fleet, left_ns + kBoundNs) >=
               kObservedStarts;
      },
      kObservationTimeout));
  const size_t late_starts =
      StartsAfter(fleet, kLeavingEngine, left_ns + kBoundNs);
  INFO((late_starts > 0 ? (*scenario)->TimeLine() : ""));
  CHECK(late_starts == 0);

  Return(&fleet, leave.departure);
  const int64_t returned_ns = MonotonicNanoseconds();
  CHECK(WaitUntil(
      [&] { return StartsAfter(fleet, kLeavingEngine, returned_ns) > 0; },
      kReturnTimeout));
  const auto result = (*scenario)->FinishLoad(kLoadTimeout);
  INFO(result.status().ToString());
  REQUIRE(result.ok());
  INFO(result->dump());
  CHECK(ViolationCounts(*result).empty());
  const absl::Status stopped = fleet.Stop();
  INFO(core::MessageOf(stopped));
  CHECK(stopped.ok());
}

}  // namespace
}  // namespace wasabi::support
