// Stops a router to which callers keep sending. It must end within its notice
// period and the time of the requests in flight, however busy it is.

#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/Scenario/bystander.h"
#include "Tests/Support/Scenario/scenario.h"

namespace wasabi::support {
namespace {

constexpr size_t kCallers = 8;
// Notice of 0.5 s and a margin of 1 s, up to 1 s until the router looks again,
// and the small chats in flight.
constexpr core::Duration kStopLimit = std::chrono::seconds(5);

TEST_CASE("a router stops in time while callers keep sending") {
  FleetOptions options = SmallFleetOptions();
  options.entries = 1;
  options.engines = 2;
  options.router_settings["callers"]["host_answer_lifetime_ms"] = "500";
  auto scenario = Scenario::Create(options);
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  std::vector<std::unique_ptr<Bystander>> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<Bystander>(fleet.routers().at(0)));
  }
  for (const auto& caller : callers) {
    REQUIRE(caller->WaitForNextAnswer());
    CHECK(caller->failed() == 0);
  }

  REQUIRE(fleet.Signal("router-1", SIGTERM).ok());
  const auto ended = fleet.WaitForExit("router-1", kStopLimit);
  INFO(core::MessageOf(ended.status()));
  REQUIRE(ended.ok());
  CHECK(*ended == ProcessExit{0, 0});
  callers.clear();
  const absl::Status stopped = fleet.Stop();
  INFO(core::MessageOf(stopped));
  CHECK(stopped.ok());
}

}  // namespace
}  // namespace wasabi::support
