// Guards against requests that are refused, and so served late, because they
// reach a host in the half second after its start.

#include <catch2/catch.hpp>
#include <string>

#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ForwarderFixture;
using support::ScriptedSuccess;

struct StartCase {
  const char* what;
  bool load_control_enabled;
  // Whether the configuration arrives while the request is held.
  bool is_configured;
  int status;
  size_t sends;
};

TEST_CASE("a request that reaches a host before its configuration") {
  const StartCase cases[] = {
      {"the configuration arrives in time", true, true, 200, 1},
      {"no configuration arrives", true, false, 503, 0},
      {"without load control", false, true, 503, 0},
  };
  for (const StartCase& it : cases) {
    INFO(it.what);
    ForwarderFixture fixture({.load_control_enabled = it.load_control_enabled});
    fixture.script = {ScriptedSuccess("ok")};
    CallerResult result;
    fixture.Send("/unsafe/1",
                 {{"Authorization", "Bearer k1"}, {"Deadline-Ms", "1500"}},
                 false, &result);
    REQUIRE(fixture.RunUntil([&]() {
      return result.end.has_value() ||
             fixture.GetInternal("/metrics", fixture.settings)
                     .find("forward_held_at_start 1") != std::string::npos;
    }));
    if (it.is_configured) {
      fixture.Configure();
    }
    REQUIRE(fixture.RunUntil([&]() { return result.end.has_value(); }));
    CHECK(result.status == it.status);
    CHECK(fixture.received.size() == it.sends);
  }
}

TEST_CASE("a caller that leaves a starting host") {
  ForwarderFixture fixture({.load_control_enabled = true});
  CallerResult result;
  const auto call = fixture.Send(
      "/unsafe/1", {{"Authorization", "Bearer k1"}, {"Deadline-Ms", "1500"}},
      false, &result);
  REQUIRE(fixture.RunUntil([&]() {
    return fixture.GetInternal("/metrics", fixture.settings)
               .find("forward_held_at_start 1") != std::string::npos;
  }));
  call->Cancel();
  fixture.Configure();
  CHECK(fixture.received.empty());
}

}  // namespace
}  // namespace wasabi::forwarder
