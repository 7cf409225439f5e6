// A planned stop cuts off nothing: routers and engines stop or are drained
// under load, every request is answered, and each process exits by itself.

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

// One planned stop.
struct PlannedStop {
  const char* name;
  // Processes that stop one group after the other; those of a group at once.
  std::vector<std::vector<std::string>> stopped;
  // An engine that is drained, or none.
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

// Routers are busy when any engine is.
bool WaitUntilBusy(const Fleet& fleet, const std::string& name) {
  return WaitUntilBusy(
      fleet.AddressOf(name.starts_with("engine-") ? name : "engine-1"));
}

void StopTogether(Fleet* fleet, const std::vector<std::string>& names) {
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
  FleetOptions options = SmallFleet();
  // A stopping router serves until the host lists that it gave out expire.
  options.router_settings["callers"]["host_answer_lifetime_ms"] = "500";
  return options;
}

TEST_CASE("a planned stop cuts off no request in flight") {
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
  // Some answers last for a second, so that every stop meets streams.
  load.more_settings = "[chats]\nsummary_share = 0.1\n";
  CAPTURE(load.seed);
  REQUIRE((*scenario)->StartLoad(load).ok());
  for (const std::vector<std::string>& group : stop.stopped) {
    StopTogether(&fleet, group);
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
  // A caller whose answer was cut off reattaches, which hides the cut.
  CHECK(result->at("reattachments") == 0);
  CHECK(fleet.Stop().ok());
}

}  // namespace
}  // namespace wasabi::support
