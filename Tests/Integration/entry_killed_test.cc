// Kills an entry host under load. Callers fail over to the next address and
// reattach, so that no request is lost, answered wrongly or executed twice.

#include <catch2/catch.hpp>
#include <csignal>

#include "LibCore/text.h"
#include "Tests/Support/Scenario/scenario.h"

namespace wasabi::support {
namespace {

// Number of executions after which requests are known to be running.
constexpr size_t kExecutionsBeforeFault = 20;
constexpr core::Duration kWaitTimeout = std::chrono::seconds(60);

TEST_CASE("a killed entry host causes no lost, wrong or doubled requests") {
  auto scenario = Scenario::Create(SmallFleetOptions());
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  REQUIRE((*scenario)->StartLoad({}).ok());
  REQUIRE(fleet.WaitUntilExecutions(kExecutionsBeforeFault, kWaitTimeout));
  REQUIRE(fleet.Signal("router-2", SIGKILL).ok());
  REQUIRE(fleet.Signal("control-2", SIGKILL).ok());
  const auto result = (*scenario)->FinishLoad(kWaitTimeout);
  INFO(result.status().ToString());
  INFO((*scenario)->TimeLine());
  REQUIRE(result.ok());
  INFO(result->dump());
  CHECK(result->at("requests") > 0);
  CHECK(result->at("wrong_answers") == 0);
  CHECK(result->at("lost") == 0);
  CHECK(result->at("doubled") == 0);
  CHECK(result->at("not_run_but_executed") == 0);
  const absl::Status stopped = fleet.Stop();
  INFO(core::MessageOf(stopped));
  CHECK(stopped.ok());
}

}  // namespace
}  // namespace wasabi::support
