// Checks that a graceful shutdown interrupts no request. Routers and engines
// are stopped or drained under load, every request receives its answer, and
// each stopped process exits without being killed.

#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/Scenario/load_verdict.h"
#include "Tests/Support/Scenario/scenario.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {
namespace {

constexpr core::Duration kExitTimeout = std::chrono::seconds(30);
constexpr core::Duration kCommandTimeout = std::chrono::seconds(30);
constexpr core::Duration kLoadTimeout = std::chrono::seconds(60);
constexpr core::Duration kBusyTimeout = std::chrono::seconds(20);

// Processes to stop gracefully or to drain under one load.
struct PlannedStop {
  const char* name;
  // The groups are stopped one after the other, the processes of a group
  // concurrently.
  std::vector<std::vector<std::string>> stopped;
  // Name of the engine to drain, or empty.
  std::string drained;
  core::Duration load_time;
};

uint32_t RunningOn(const core::SocketAddress& engine) {
  const auto response = GetNow(engine, "/v1/load");
  if (!response.ok()) {
    return 0;
  }
  const nlohmann::json report = ParseObject(response->body);
  return report.is_object() ? report.value("running", 0U) : 0;
}

bool WaitUntilBusy(const core::SocketAddress& engine) {
  return WaitUntil([&] { return RunningOn(engine) > 0; }, kBusyTimeout);
}

// A router counts as busy when engine-1 is.
bool WaitUntilBusy(const Fleet& fleet, const std::string& name) {
  return WaitUntilBusy(
      fleet.AddressOf(name.starts_with("engine-") ? name : "engine-1"));
}

void StopGroup(Fleet* fleet, const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    REQUIRE(WaitUntilBusy(*fleet, name));
    REQUIRE(fleet->Signal(name, SIGTERM).ok());
  }
  for (const std::string& name : names) {
    CAPTURE(name);
    const auto exit = fleet->WaitForExit(name, kExitTimeout);
    INFO(exit.status().ToString());
    REQUIRE(exit.ok());
    CHECK(exit->ToString() == (ProcessExit{0, 0}.ToString()));
    REQUIRE(fleet->Restart(name).ok());
  }
}

void Drain(const Fleet& fleet, const std::string& engine) {
  REQUIRE(WaitUntilBusy(fleet, engine));
  const auto command =
      ChildProcess::Start({fleet.options().binary_folder + "/wasabictl",
                           "--control=" + JoinAddresses(fleet.controls()),
                           "--yes", "--operator_name=test", "drain", engine},
                          fleet.work_folder() + "/drain.log");
  REQUIRE(command.ok());
  const auto exit = (*command)->Wait(kCommandTimeout);
  REQUIRE(exit.has_value());
  REQUIRE(exit->code == 0);
  CHECK(WaitUntil([&] { return RunningOn(fleet.AddressOf(engine)) == 0; },
                  kExitTimeout));
}

FleetOptions StopFleet() {
  FleetOptions options = SmallFleetOptions();
  // A stopping router serves requests until the host lists that it returned to
  // callers expire.
  options.router_settings["callers"]["host_answer_lifetime_ms"] = "500";
  return options;
}

TEST_CASE("a graceful shutdown interrupts no request in flight") {
  const auto stop = GENERATE(values<PlannedStop>(
      {{"each router in turn, then two at once",
        {{"router-1"}, {"router-2"}, {"router-3"}, {"router-1", "router-2"}},
        "",
        std::chrono::seconds(15)},
       {"an engine stops, another is drained",
        {{"engine-1"}},
        "engine-2",
        std::chrono::seconds(6)}}));
  CAPTURE(stop.name);
  auto scenario = Scenario::Create(StopFleet());
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  ScenarioLoad load;
  load.duration = stop.load_time;
  // Some answers take about a second, so that streams are in flight at every
  // stop.
  load.more_settings = "[chats]\nsummary_share = 0.1\n";
  CAPTURE(load.seed);
  REQUIRE((*scenario)->StartLoad(load).ok());
  for (const std::vector<std::string>& group : stop.stopped) {
    StopGroup(&fleet, group);
  }
  if (!stop.drained.empty()) {
    Drain(fleet, stop.drained);
  }
  CHECK((*scenario)->IsLoadRunning());
  const auto result = (*scenario)->FinishLoad(kLoadTimeout);
  INFO(result.status().ToString());
  REQUIRE(result.ok());
  const std::string failed = FailedCounts(*result);
  INFO(result->dump());
  INFO((failed.empty() ? "" : (*scenario)->TimeLine()));
  CHECK(failed.empty());
  CHECK(result->at("whole_answers") == result->at("requests"));
  // A caller whose answer was interrupted reattaches and still receives it
  // whole, so only this count shows the interruption.
  CHECK(result->at("reattachments") == 0);
  const absl::Status stopped = fleet.Stop();
  INFO(core::MessageOf(stopped));
  CHECK(stopped.ok());
}

}  // namespace
}  // namespace wasabi::support
