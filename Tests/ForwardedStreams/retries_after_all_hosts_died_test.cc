// Regression test: hosts that are killed and started again must not retry as if
// nothing had been retried before, within the window of the fleet's budget.

#include <catch2/catch.hpp>
#include <string>

#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::ForwarderFixture;

// More answers than requests and retries need.
constexpr size_t kAnswers = 1000;
constexpr int kRequestsAtOnce = 20;

struct RestartCase {
  const char* what;
  int restarts;
};

// Guards against a retry budget that begins anew with each process.
TEST_CASE("retries around restarts stay within the fleet's budget") {
  const RestartCase cases[] = {
      {"no restart", 0}, {"one restart", 1}, {"four restarts", 4}};
  for (const RestartCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it(
        {.is_first_start = true,
         .retries = {.ratio = 0.2, .slack = 20, .window = core::seconds(10)}});
    it.Configure();
    it.script.assign(kAnswers,
                     support::ScriptedAnswer(503, "Not-Executed: 1\r\n", ""));
    const core::TimePoint start = it.loop.Now();
    int requests = 0;
    for (int i = 0; i <= row.restarts; ++i) {
      if (i > 0) {
        it.KillHosts();
        it.RestartHosts();
        REQUIRE(it.RunUntil(
            [&it]() { return it.Get("/ready", true).status == 200; }));
      }
      for (int k = 0; k < kRequestsAtOnce; ++k, ++requests) {
        CHECK(it.Get("/safe/1").status == 503);
      }
    }
    const auto& budget = it.settings.retries;
    // All of it lies within one window.
    REQUIRE(it.loop.Now() - start < budget.window);
    const double retries = static_cast<double>(it.received.size()) - requests;
    CHECK(retries > 0);
    CHECK(retries <= budget.ratio * requests + budget.slack);
  }
}

}  // namespace
}  // namespace wasabi::forwarder
