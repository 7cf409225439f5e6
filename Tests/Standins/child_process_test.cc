#include "Tests/Support/Fleet/child_process.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "Tests/Support/Fleet/daemon_settings.h"

namespace wasabi::support {
namespace {

constexpr core::Duration kWaitTimeout = std::chrono::seconds(10);

std::unique_ptr<ChildProcess> StartShell(const std::string& script) {
  auto process = ChildProcess::Start({"/bin/sh", "-c", script}, "/dev/null");
  REQUIRE(process.ok());
  return std::move(*process);
}

TEST_CASE("the exit status of a process is reported") {
  struct Case {
    std::string script;
    ProcessExit exit;
  };
  const auto row = GENERATE(values<Case>({{"exit 0", {0, 0}},
                                          {"exit 7", {7, 0}},
                                          {"kill -KILL $$", {-1, SIGKILL}}}));
  const auto process = StartShell(row.script);
  CHECK(process->Wait(kWaitTimeout) == row.exit);
  CHECK(process->Poll() == row.exit);
}

TEST_CASE("a running process has no exit status until a signal ends it") {
  const auto process = StartShell("exec sleep 60");
  CHECK_FALSE(process->Wait(core::milliseconds(20)).has_value());
  process->Signal(SIGTERM);
  CHECK(process->Wait(kWaitTimeout) == ProcessExit{-1, SIGTERM});
}

TEST_CASE("a missing program exits with code 127") {
  auto process = ChildProcess::Start({"/nonexistent/program"}, "/dev/null");
  REQUIRE(process.ok());
  CHECK((*process)->Wait(kWaitTimeout) == ProcessExit{127, 0});
}

TEST_CASE("overrides extend and replace the settings of a daemon") {
  DaemonPlace place;
  place.host_id = "entry-1/router";
  place.data_centre = "dc-1";
  const std::string text = MakeDaemonSettings(
      place, {{"limits", {{"max_retries", "0"}}}, {"host", {{"id", "x"}}}});
  CHECK_THAT(text, Catch::Matchers::Contains("[limits]\nmax_retries = 0\n"));
  CHECK_THAT(text,
             Catch::Matchers::Contains("[host]\ndata_centre = dc-1\nid = x\n"));
}

}  // namespace
}  // namespace wasabi::support
