// Regression test: an endpoint whose registration lapses, since it can't reach
// the platform, lives on. When its registration stands again, what it said of
// itself must still be in force.

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ForwarderFixture;
using support::RawServer;

constexpr double kLimit = 2;
constexpr core::Duration kWindow = core::seconds(4);
// What an endpoint may get in a window: one and a half times its limit, and
// five requests more.
constexpr size_t kMaxInWindow =
    static_cast<size_t>(1.5 * kLimit * core::ToSeconds(kWindow)) + 5;
constexpr size_t kRequestsAtOnce = 60;
// All of them lie within one window.
constexpr int kLapses = 3;
// An endpoint that asked a host for a pause may get this many requests from it.
constexpr int kMaxInPause = 2;

void RunFor(ForwarderFixture& it, core::Duration time) {
  const core::TimePoint end = it.loop.Now() + time;
  it.RunUntil([&]() { return it.loop.Now() >= end; });
}

// Lets the registrations of both endpoints lapse and stand again.
void Lapse(ForwarderFixture& it) {
  for (const char* id : {"e1", "e2"}) {
    it.store->Write(it.names.registrations, id, std::nullopt);
  }
  RunFor(it, core::milliseconds(300));
  it.Register("e1", it.first, "ready");
  it.Register("e2", it.second, "ready");
  RunFor(it, core::milliseconds(300));
}

size_t MostInWindow(const std::vector<core::TimePoint>& arrivals) {
  size_t most = 0;
  for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
    const auto end = std::upper_bound(it, arrivals.end(), *it + kWindow);
    most = std::max(most, static_cast<size_t>(end - it));
  }
  return most;
}

// Guards against limits that end with a registration.
TEST_CASE("a limit outlives a registration that lapses") {
  ForwarderFixture it;
  std::vector<core::TimePoint> arrivals[2];
  RawServer* const servers[] = {&it.first, &it.second};
  for (size_t i = 0; i < 2; ++i) {
    servers[i]->SetResponder([&it, &arrivals, i](const std::string& /*text*/) {
      arrivals[i].push_back(it.loop.Now());
      return support::ScriptedAnswer(
          200,
          fmt::format("Response-Signature: s\r\nServer-Limit: {}\r\n", kLimit),
          "x");
    });
  }
  it.Configure();
  // Refusals show that both limits are in force.
  REQUIRE(it.RunUntil([&]() { return it.Get("/unsafe/1").status == 503; }));
  for (int i = 0; i < kLapses; ++i) {
    Lapse(it);
    std::vector<CallerResult> results(kRequestsAtOnce);
    std::vector<std::shared_ptr<http::OriginCall>> calls;
    for (CallerResult& result : results) {
      calls.push_back(
          it.Send("/unsafe/1",
                  {{"Authorization", "Bearer k1"}, {"Deadline-Ms", "1500"}},
                  false, &result));
    }
    it.RunUntil([&]() {
      return std::all_of(
          results.begin(), results.end(),
          [](const CallerResult& row) { return row.end.has_value(); });
    });
  }
  for (const auto& row : arrivals) {
    CHECK(!row.empty());
    CHECK(MostInWindow(row) <= kMaxInWindow);
  }
}

// Guards against pauses that end with a registration, and long ones that count
// as none.
TEST_CASE("a pause outlives a registration that lapses") {
  for (const char* seconds : {"8", "90"}) {
    INFO(seconds);
    ForwarderFixture it;
    it.first.SetResponder([seconds](const std::string& /*text*/) {
      return support::ScriptedAnswer(
          503, fmt::format("Not-Executed: 1\r\nRetry-After: {}\r\n", seconds),
          "");
    });
    it.second.SetResponder([](const std::string& /*text*/) {
      return support::ScriptedSuccess("x");
    });
    it.Configure();
    REQUIRE(it.RunUntil([&]() {
      it.Get("/unsafe/1");
      return it.first.requests() > 0;
    }));
    for (int i = 0; i < kLapses; ++i) {
      Lapse(it);
      for (int k = 0; k < 20; ++k) {
        CHECK(it.Get("/unsafe/1").status == 200);
      }
    }
    CHECK(it.first.requests() <= kMaxInPause);
  }
}

}  // namespace
}  // namespace wasabi::forwarder
