// Runs requests through a fleet of real processes, once without faults and once
// while an entry host is killed.

#include <catch2/catch.hpp>
#include <csignal>
#include <string>

#include "LibCore/text.h"
#include "Tests/Integration/test_fleet.h"
#include "Tests/Support/Measure/load_command.h"

namespace wasabi::support {
namespace {

constexpr core::Duration kLoadTimeout = std::chrono::seconds(90);

constexpr std::string_view kExperiment = R"(
[experiment]
name = thin-path
duration_ms = 4000
[chats]
model = luthier
turns_per_second = 25
pause_ms_min = 200
pause_ms_max = 800
turns = 5
answer_tokens_min = 10
answer_tokens_max = 60
[organisations]
names = quito-schools, banda-sinfonica, coro-catedral
[service]
name = holds
path = place
calls_per_second = 5
resend_share = 0.4
)";

TEST_CASE("every request through the fleet receives its own complete answer") {
  const std::unique_ptr<Fleet> fleet = StartFleet(ThinFleetOptions());
  TimeLineOnFailure time_line(fleet.get());
  const auto load = LoadCommand::Start(*fleet, "load", std::string(kExperiment),
                                       /*is_direct=*/false);
  REQUIRE(load.ok());
  const auto result = (*load)->Finish(kLoadTimeout);
  INFO(core::MessageOf(result.status()));
  REQUIRE(result.ok());
  INFO(result->dump());
  CHECK(result->value("requests", 0) > 60);
  CHECK(result->value("whole_answers", 0) == result->value("requests", -1));
  const absl::Status stopped = fleet->Stop();
  INFO(core::MessageOf(stopped));
  REQUIRE(stopped.ok());
  time_line.Dismiss();
}

TEST_CASE(
    "no request is lost, wrong or run twice when an entry host is killed") {
  const std::unique_ptr<Fleet> fleet = StartFleet(ThinFleetOptions());
  TimeLineOnFailure time_line(fleet.get());
  const auto load = LoadCommand::Start(*fleet, "load", std::string(kExperiment),
                                       /*is_direct=*/false);
  REQUIRE(load.ok());
  // The entry host is killed only when the execution count of the engines shows
  // that requests are running.
  const bool is_running = fleet->WaitUntilExecutions(20, kLoadTimeout);
  REQUIRE(is_running);
  REQUIRE(fleet->Signal("router-2", SIGKILL).ok());
  REQUIRE(fleet->Signal("control-2", SIGKILL).ok());
  const auto result = (*load)->Finish(kLoadTimeout);
  INFO(core::MessageOf(result.status()));
  REQUIRE(result.ok());
  INFO(result->dump());
  CHECK(result->value("lost", -1) == 0);
  const absl::Status stopped = fleet->Stop();
  INFO(core::MessageOf(stopped));
  REQUIRE(stopped.ok());
  time_line.Dismiss();
}

}  // namespace
}  // namespace wasabi::support
