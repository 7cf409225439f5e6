// Checks a fleet without faults: every caller receives the complete answer to
// its own request, and no request is executed twice.

#include <catch2/catch.hpp>

#include "LibCore/text.h"
#include "Tests/Support/Scenario/scenario.h"

namespace wasabi::support {
namespace {

TEST_CASE("a fleet without faults answers every request completely") {
  auto scenario = Scenario::Create(SmallFleetOptions());
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  REQUIRE((*scenario)->StartLoad({}).ok());
  const auto result = (*scenario)->FinishLoad(std::chrono::seconds(60));
  INFO(result.status().ToString());
  REQUIRE(result.ok());
  INFO(result->dump());
  CHECK(result->at("requests") > 0);
  CHECK(result->at("whole_answers") == result->at("requests"));
  CHECK(result->at("wrong_answers") == 0);
  CHECK(result->at("lost") == 0);
  CHECK(result->at("doubled") == 0);
  const absl::Status stopped = (*scenario)->fleet().Stop();
  INFO(core::MessageOf(stopped));
  CHECK(stopped.ok());
}

}  // namespace
}  // namespace wasabi::support
