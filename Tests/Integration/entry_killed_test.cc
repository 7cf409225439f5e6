// An entry host is killed under load: callers fall to the next address and
// reattach, so that no request is lost, wrong or doubled.

#include <catch2/catch.hpp>
#include <csignal>

#include "Tests/Support/Scenario/scenario.h"

namespace wasabi::support {
namespace {

// Executions that show that requests run.
constexpr size_t kExecutionsBeforeFault = 20;
constexpr core::Duration kLongestWait = std::chrono::seconds(60);

TEST_CASE("a killed entry host loses, falsifies and doubles nothing") {
  auto scenario = Scenario::Create(SmallFleet());
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  REQUIRE((*scenario)->StartLoad({}).ok());
  REQUIRE(fleet.WaitUntilExecutions(kExecutionsBeforeFault, kLongestWait));
  REQUIRE(fleet.Signal("router-2", SIGKILL).ok());
  REQUIRE(fleet.Signal("control-2", SIGKILL).ok());
  const auto result = (*scenario)->FinishLoad(kLongestWait);
  INFO(result.status().ToString());
  INFO((*scenario)->TimeLine());
  REQUIRE(result.ok());
  INFO(result->dump());
  CHECK(result->at("requests") > 0);
  CHECK(result->at("wrong_answers") == 0);
  CHECK(result->at("lost") == 0);
  CHECK(result->at("doubled") == 0);
  CHECK(result->at("not_run_but_executed") == 0);
  CHECK(fleet.Stop().ok());
}

}  // namespace
}  // namespace wasabi::support
