// The checker finds what it is there to find.

#include "Tests/Soak/checker.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "LibCore/text.h"

namespace wasabi::soak {
namespace {

using core::milliseconds;
using core::seconds;
using support::EndpointRun;
using support::RunEnd;

// A history in which one call of `kind` was served by one run.
struct World {
  explicit World(CallKind kind) {
    history.started_at = core::TimePoint(seconds(100));
    history.configurations.push_back({.version = 1,
                                      .moving_pool = core::PoolId("plain"),
                                      .acknowledged_at = history.started_at});
    sent_at = history.started_at + seconds(20);
    call = std::make_shared<Call>();
    call->id = core::RequestId("r1");
    call->kind = kind;
    call->method = "GET";
    call->target = "/safe/1";
    call->key_version = 1;
    call->deadline = seconds(1);
    call->sent_at = sent_at;
    call->status = 200;
    call->signature = "s1";
    call->answer = support::PlainAnswerOf(call->id);
    call->end = http::OriginOutcome::kComplete;
    call->ended_at = sent_at + milliseconds(30);
    history.calls.push_back(call);
    run = AddRun();
  }

  std::shared_ptr<EndpointRun> AddRun() {
    auto it = std::make_shared<EndpointRun>();
    it->endpoint = core::RunnerId("e1");
    it->pool = core::PoolId("plain");
    it->request = call->id;
    it->method = call->method;
    it->target = call->target;
    it->headers = {
        {"Tenant", call->kind == CallKind::kReplacedKey ? "t2" : "t1"}};
    it->remaining = milliseconds(990);
    it->signature = "s1";
    it->started_at = sent_at + milliseconds(2);
    it->ended_at = sent_at + milliseconds(28);
    it->end = RunEnd::kAnswered;
    history.runs.push_back(it);
    return it;
  }

  std::vector<Violation> Check() const {
    return CheckHistory(history, Bounds(), sent_at + seconds(5));
  }

  History history;
  core::TimePoint sent_at;
  std::shared_ptr<Call> call;
  std::shared_ptr<EndpointRun> run;
};

struct CheckerCase {
  std::string what;
  CallKind kind;
  std::function<void(World& world)> change;
  // The promise that is broken; "" for none.
  std::string promise;
};

void Disturb(World& world, Disturbance::Scope scope, bool is_planned) {
  world.history.disturbances.push_back(std::make_shared<Disturbance>(
      Disturbance{.scope = scope,
                  .endpoint = core::RunnerId("e1"),
                  .is_planned = is_planned,
                  .from = world.sent_at - seconds(1),
                  .to = world.sent_at + seconds(1)}));
}

void Cut(World& world) {
  world.call->status = 0;
  world.call->end = http::OriginOutcome::kCut;
}

void Depart(World& world) {
  world.history.departures.push_back(
      {.endpoint = core::RunnerId("e1"),
       .acknowledged_at = world.sent_at - milliseconds(2100)});
}

void Reconfigure(World& world, const std::string& pool) {
  world.history.configurations.push_back(
      {.version = 2,
       .moving_pool = core::PoolId(pool),
       .acknowledged_at = world.sent_at - milliseconds(2100)});
}

std::vector<CheckerCase> Cases() {
  using enum CallKind;
  return {
      {"a served call", kAtMostOnce, [](World& /*it*/) {}, ""},
      {"two runs of what may not repeat", kAtMostOnce,
       [](World& it) { it.AddRun(); }, "what may not repeat runs at most once"},
      {"two runs of a call with a key", kReplacedKey,
       [](World& it) { it.AddRun(); }, ""},
      {"two runs of what may", kIdempotent, [](World& it) { it.AddRun(); }, ""},
      {"a refusal after a run", kAtMostOnce,
       [](World& it) {
         it.call->status = 503;
         it.call->signature.clear();
       },
       "not run means not run"},
      {"an answer without its run's signature", kAtMostOnce,
       [](World& it) { it.call->signature = "other"; },
       "an answer is that of the request's own run"},
      {"a success where the run failed", kAtMostOnce,
       [](World& it) { it.run->end = RunEnd::kFailed; },
       "an answer is that of the request's own run"},
      {"a short answer", kAtMostOnce,
       [](World& it) { it.call->answer.pop_back(); },
       "answers are whole, in order and the request's own"},
      {"a changed target", kAtMostOnce,
       [](World& it) { it.run->target += "x"; },
       "requests arrive as they were sent, without forged fields"},
      {"a forged organisation", kAtMostOnce,
       [](World& it) {
         it.run->headers = {{"Tenant", "forged"}};
       },
       "requests arrive as they were sent, without forged fields"},
      {"too much time", kAtMostOnce,
       [](World& it) { it.run->remaining = seconds(2); },
       "endpoints get no more time than is left"},
      {"a request of nobody", kAtMostOnce,
       [](World& it) { it.AddRun()->request = core::RequestId("r2"); },
       "only callers' requests run"},
      {"a denial", kAtMostOnce,
       [](World& it) {
         it.call->status = 404;
         it.call->signature.clear();
         it.history.runs.clear();
       },
       "what every configuration allows is not denied"},
      {"an unknown key that runs", kUnknownKey, [](World& /*it*/) {},
       "an unknown key runs nothing"},
      {"an old pool", kMoving, [](World& it) { Reconfigure(it, "other"); },
       "a configuration is in force in time"},
      {"an old pool on a disturbed host", kMoving,
       [](World& it) {
         Reconfigure(it, "other");
         Disturb(it, Disturbance::Scope::kHost, false);
       },
       ""},
      {"an old key", kReplacedKey, [](World& it) { Reconfigure(it, "plain"); },
       "a key that was taken away runs nothing"},
      {"a cut with no trouble", kIdempotent, Cut,
       "planned work cuts off nothing"},
      {"a cut beside planned work", kIdempotent,
       [](World& it) {
         Cut(it);
         Disturb(it, Disturbance::Scope::kHost, true);
       },
       "planned work cuts off nothing"},
      {"a cut beside a fault", kIdempotent,
       [](World& it) {
         Cut(it);
         Disturb(it, Disturbance::Scope::kEndpoint, false);
       },
       ""},
      {"work at an endpoint that has left", kIdempotent, Depart,
       "a leaving endpoint gets nothing new"},
      {"the same while the store is disturbed", kIdempotent,
       [](World& it) {
         Depart(it);
         Disturb(it, Disturbance::Scope::kStore, false);
       },
       ""},
      {"a host that ends by itself", kIdempotent,
       [](World& it) { it.history.crashes.emplace_back("host=0 signal 11"); },
       "a host ends only by a signal"},
  };
}

TEST_CASE("the checker tells what is broken") {
  for (const CheckerCase& row : Cases()) {
    INFO(row.what);
    World world(row.kind);
    row.change(world);
    const std::vector<Violation> violations = world.Check();
    for (const Violation& it : violations) {
      INFO(it.promise << ": " << it.detail);
      CHECK(it.promise == row.promise);
    }
    CHECK(violations.empty() == row.promise.empty());
  }
}

TEST_CASE("retries beyond the budget are told") {
  World world(CallKind::kIdempotent);
  for (int i = 0; i < 60; ++i) {
    world.AddRun();
  }
  REQUIRE(world.Check().size() == 1);
  CHECK(world.Check().front().promise == "retries keep to the fleet's budget");
}

TEST_CASE("work that goes on for callers that have left is told") {
  World world(CallKind::kIdempotent);
  for (int i = 0; i < 16; ++i) {
    const auto call = std::make_shared<Call>(*world.call);
    call->id = core::RequestId(fmt::format("left-{}", i));
    call->status = 0;
    call->end.reset();
    call->left_at = world.sent_at + milliseconds(10);
    world.history.calls.push_back(call);
    const auto run = world.AddRun();
    run->request = call->id;
    // Work that goes on to its end counts like work that is broken off late.
    run->end = i % 2 == 0 ? RunEnd::kCancelled : RunEnd::kAnswered;
    run->ended_at = world.sent_at + seconds(i < 6 ? 2 : 0);
  }
  REQUIRE(world.Check().size() == 1);
  CHECK(world.Check().front().promise ==
        "work for callers that have left ends");
}

}  // namespace
}  // namespace wasabi::soak
