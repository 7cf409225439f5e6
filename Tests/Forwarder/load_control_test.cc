// What callers of a full pool see with load control on and off.

#include <catch2/catch.hpp>
#include <list>
#include <string>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ForwarderFixture;
using support::ScriptedSuccess;

// Requests after which the daemon knows how long one takes.
constexpr size_t kServed = 12;
// The slots of both endpoints.
constexpr size_t kPlaces = 16;
// A quarter of the caller's deadline of 1.5 s, for which requests wait with
// load control off.
constexpr core::Duration kQueueTime = core::milliseconds(375);

// Guards against a request that is held although its start can't come in time,
// and against a change of behaviour where load control is off.
TEST_CASE("a full pool refuses at once only with load control") {
  const bool is_enabled = GENERATE(true, false);
  ForwarderFixture it({.load_control_enabled = is_enabled});
  it.Configure();
  for (size_t i = 0; i < kServed; ++i) {
    it.script = {ScriptedSuccess("ok")};
    REQUIRE(it.Get("/unsafe/1").status == 200);
  }
  std::list<CallerResult> results(kPlaces);
  const http::Headers headers = {{"Authorization", "Bearer k1"},
                                 {"Deadline-Ms", "9000"}};
  for (CallerResult& result : results) {
    it.Send("/unsafe/1", headers, false, &result);
  }
  REQUIRE(
      it.RunUntil([&it]() { return it.received.size() == kServed + kPlaces; }));
  // The requests run for so long that no place is expected to become free
  // within the latency objective of 100 ms.
  const core::TimePoint full_since = it.loop.Now();
  it.RunUntil(
      [&]() { return it.loop.Now() - full_since > core::milliseconds(1300); });
  const core::TimePoint sent_at = it.loop.Now();
  const CallerResult refused = it.Get("/unsafe/1");
  const core::Duration held = it.loop.Now() - sent_at;
  CHECK(refused.status == 503);
  CHECK(std::stod(refused.headers.Get("Retry-After")) <= 0.5);
  CHECK((held < kQueueTime) == is_enabled);
  const std::string events = it.GetInternal("/v1/events", it.settings);
  CHECK((events.find("request_refused_early") != std::string::npos) ==
        is_enabled);
  CHECK(it.received.size() == kServed + kPlaces);
}

}  // namespace
}  // namespace wasabi::forwarder
