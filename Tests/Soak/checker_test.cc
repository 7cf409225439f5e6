// Tests that the checker reports each kind of violation and accepts valid
// histories.

#include "Tests/Soak/checker.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "LibCore/text.h"
#include "Tests/Soak/endpoint_fleet.h"
#include "Tests/Soak/refusal_counts.h"

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
    call->whole_at = sent_at;
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
  // The name of the violated guarantee, or "" if there is no violation.
  std::string guarantee;
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

void Evacuate(World& it) {
  it.history.evacuations.push_back(
      {.data_centre = DataCentreOf(it.run->endpoint),
       .from = it.sent_at - seconds(6),
       .to = std::nullopt});
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

// Adds an earlier call, whose answer said that the endpoint is leaving.
void SayLeaving(World& world) {
  const auto earlier = std::make_shared<Call>(*world.call);
  earlier->id = core::RequestId("r0");
  earlier->sent_at = world.sent_at - seconds(3);
  earlier->answer = support::PlainAnswerOf(earlier->id);
  earlier->ended_at = earlier->sent_at + milliseconds(30);
  world.history.calls.push_back(earlier);
  const auto run = world.AddRun();
  run->request = earlier->id;
  run->announces_departure = true;
  run->started_at = earlier->sent_at + milliseconds(2);
  run->ended_at = earlier->sent_at + milliseconds(28);
}

// Adds a refusal that asked for a pause, and `n` runs within the pause.
void AskForPause(World& world, int n) {
  const auto refusal = world.AddRun();
  refusal->end = RunEnd::kRefused;
  refusal->started_at = world.sent_at - seconds(1);
  refusal->ended_at = refusal->started_at;
  refusal->paused_until = world.sent_at + seconds(1);
  for (int i = 1; i < n; ++i) {
    world.AddRun();
  }
}

// Makes the call the first attempt of a stream that was cut after two events,
// and adds the attempt that takes it up at `version`.
void TakeUp(World& world, const std::string& version) {
  const core::RequestId stream = world.call->id;
  world.run->software_version = "v1";
  world.call->end = http::OriginOutcome::kCut;
  world.call->answer = support::EventOf(stream, 1, "v1");
  Disturb(world, Disturbance::Scope::kEndpoint, false);
  const auto next = std::make_shared<Call>(*world.call);
  next->id = core::RequestId("r2");
  next->first_attempt = stream;
  next->resume_after = 1;
  next->answer = support::EventOf(stream, 2, version);
  world.history.calls.push_back(next);
  const auto run = world.AddRun();
  run->request = next->id;
  run->software_version = version;
}

std::vector<CheckerCase> StreamCases() {
  using enum CallKind;
  return {
      {"a stream taken up at its version", kResumableStream,
       [](World& it) { TakeUp(it, "v1"); }, ""},
      {"a stream taken up at another version", kResumableStream,
       [](World& it) { TakeUp(it, "v2"); },
       "a stream goes on at the software version that began it"},
      {"an answer of two versions", kResumableStream,
       [](World& it) {
         TakeUp(it, "v1");
         it.call->answer += support::EventOf(it.call->id, 2, "v2");
       },
       "answers are complete, in order and match the request"},
  };
}

std::vector<CheckerCase> Cases() {
  using enum CallKind;
  return {
      {"a served call", kAtMostOnce, [](World& /*it*/) {}, ""},
      {"two runs of a non-retryable call", kAtMostOnce,
       [](World& it) { it.AddRun(); },
       "a non-retryable request runs at most once"},
      {"two runs of a call with a replaced key", kReplacedKey,
       [](World& it) { it.AddRun(); }, ""},
      {"two runs of an idempotent call", kIdempotent,
       [](World& it) { it.AddRun(); }, ""},
      {"a refusal after a run", kAtMostOnce,
       [](World& it) {
         it.call->status = 503;
         it.call->signature.clear();
       },
       "a request refused as not executed has not run"},
      {"an answer without its run's signature", kAtMostOnce,
       [](World& it) { it.call->signature = "other"; },
       "an answer comes from a run of the same request"},
      {"a success where the run failed", kAtMostOnce,
       [](World& it) { it.run->end = RunEnd::kFailed; },
       "an answer comes from a run of the same request"},
      {"a short answer", kAtMostOnce,
       [](World& it) { it.call->answer.pop_back(); },
       "answers are complete, in order and match the request"},
      {"a changed target", kAtMostOnce,
       [](World& it) { it.run->target += "x"; },
       "requests arrive unmodified and without forged headers"},
      {"a forged organisation", kAtMostOnce,
       [](World& it) {
         it.run->headers = {{"Tenant", "forged"}};
       },
       "requests arrive unmodified and without forged headers"},
      {"more remaining time than the deadline", kAtMostOnce,
       [](World& it) { it.run->remaining = seconds(2); },
       "endpoints get no more time than the caller's deadline leaves"},
      {"a run without a matching call", kAtMostOnce,
       [](World& it) { it.AddRun()->request = core::RequestId("r2"); },
       "endpoints run only requests sent by callers"},
      {"a denial of an allowed call", kAtMostOnce,
       [](World& it) {
         it.call->status = 404;
         it.call->signature.clear();
         it.history.runs.clear();
       },
       "requests allowed by every configuration are not denied"},
      {"an unknown key that runs", kUnknownKey, [](World& /*it*/) {},
       "requests with an unknown key do not run"},
      {"a pool of a stale configuration", kMovedRoute,
       [](World& it) { Reconfigure(it, "other"); },
       "a configuration takes effect in time"},
      {"a pool of a stale configuration on a disturbed host", kMovedRoute,
       [](World& it) {
         Reconfigure(it, "other");
         Disturb(it, Disturbance::Scope::kHost, false);
       },
       ""},
      {"a revoked key", kReplacedKey,
       [](World& it) { Reconfigure(it, "plain"); },
       "requests with a revoked key do not run"},
      {"a cut without a disturbance", kIdempotent, Cut,
       "planned maintenance interrupts no requests"},
      {"a cut during planned maintenance", kIdempotent,
       [](World& it) {
         Cut(it);
         Disturb(it, Disturbance::Scope::kHost, true);
       },
       "planned maintenance interrupts no requests"},
      {"a cut during a fault", kIdempotent,
       [](World& it) {
         Cut(it);
         Disturb(it, Disturbance::Scope::kEndpoint, false);
       },
       ""},
      {"a run at an endpoint that has left", kIdempotent, Depart,
       "a leaving endpoint gets no new requests"},
      {"a run at an endpoint that has left while the store is disturbed",
       kIdempotent,
       [](World& it) {
         Depart(it);
         Disturb(it, Disturbance::Scope::kStore, false);
       },
       ""},
      {"a host that crashes", kIdempotent,
       [](World& it) { it.history.crashes.emplace_back("host=0 signal 11"); },
       "hosts exit only on a signal"},
  };
}

std::vector<CheckerCase> EvacuationCases() {
  using enum CallKind;
  return {
      {"a run in a data centre that is evacuated", kIdempotent, Evacuate,
       "an evacuated data centre gets no requests"},
      {"a run just after an evacuation was ordered", kIdempotent,
       [](World& it) {
         Evacuate(it);
         it.history.evacuations[0].from = it.sent_at - seconds(4);
       },
       ""},
      {"a run after an evacuation has ended", kIdempotent,
       [](World& it) {
         Evacuate(it);
         it.history.evacuations[0].to = it.sent_at;
       },
       ""},
      {"a run in another data centre than the evacuated one", kIdempotent,
       [](World& it) {
         Evacuate(it);
         it.history.evacuations[0].data_centre = core::DataCentreId("other");
       },
       ""},
  };
}

std::vector<CheckerCase> EndpointNoticeCases() {
  using enum CallKind;
  return {
      {"a run at an endpoint that had said that it is leaving", kIdempotent,
       SayLeaving,
       "an endpoint that said that it is leaving gets no new requests"},
      {"a run at an endpoint that had said so to a host that restarted since",
       kIdempotent,
       [](World& it) {
         SayLeaving(it);
         Disturb(it, Disturbance::Scope::kHost, false);
       },
       ""},
      {"three runs in a pause", kIdempotent,
       [](World& it) { AskForPause(it, 3); },
       "an endpoint that asked for a pause gets no requests"},
      {"two runs in a pause", kIdempotent,
       [](World& it) { AskForPause(it, 2); }, ""},
  };
}

// Adds a stream call that was sent `after` seconds later, and its run.
std::shared_ptr<EndpointRun> AddStream(World& world,
                                       double after,
                                       const std::string& harmful_part) {
  static int n = 0;
  const auto call = std::make_shared<Call>(*world.call);
  call->id = core::RequestId(fmt::format("stream-{}", ++n));
  call->kind = CallKind::kResumableStream;
  call->harmful_part = harmful_part;
  call->sent_at = world.sent_at + core::FromSeconds(after);
  call->ended_at = call->sent_at + milliseconds(30);
  call->status = 502;
  call->signature.clear();
  call->answer.clear();
  world.history.calls.push_back(call);
  auto run = world.AddRun();
  run->request = call->id;
  run->end = RunEnd::kCut;
  run->started_at = call->sent_at + milliseconds(2);
  run->ended_at = call->sent_at + milliseconds(28);
  run->headers.Add(
      "Prompt-Prefix",
      harmful_part.empty() ? "1:5,2:5" : fmt::format("{}:5,2:5", harmful_part));
  return run;
}

// Five requests with a harmful part crash endpoints, and `n` more run later.
void CrashEndpoints(World& world, int n) {
  for (int i = 0; i < 5; ++i) {
    AddStream(world, 0.1 * i, "bad1")->crashes_endpoint = true;
  }
  for (int i = 0; i < n; ++i) {
    AddStream(world, 4, "bad1")->crashes_endpoint = true;
  }
}

// After five crashes, 30 harmless streams come in between harmful ones, of
// which only `begun` begin.
void RefuseHarmless(World& world, int begun) {
  CrashEndpoints(world, 0);
  for (int i = 0; i < 30; ++i) {
    AddStream(world, 7, "");
    if (i >= begun) {
      world.history.runs.pop_back();
    }
  }
  AddStream(world, 8, "bad1");
  world.history.runs.pop_back();
}

// An endpoint names a limit of two a second, and gets `n` requests in the four
// seconds that end three seconds later.
void Limit(World& world, int n) {
  world.history.limits.push_back({.endpoint = core::RunnerId("e1"),
                                  .per_second = 2,
                                  .from = world.sent_at,
                                  .to = world.sent_at + seconds(9)});
  world.run->limit_named_at = world.sent_at + milliseconds(20);
  for (int i = 0; i < n; ++i) {
    AddStream(world, 1 + 3.9 * i / n, "");
  }
}

std::vector<CheckerCase> HarmfulPartCases() {
  using enum CallKind;
  return {
      {"four harmful requests run after five crashes", kIdempotent,
       [](World& it) { CrashEndpoints(it, 4); },
       "requests that crash endpoints are stopped"},
      {"three harmful requests run after five crashes", kIdempotent,
       [](World& it) { CrashEndpoints(it, 3); }, ""},
      {"four after five crashes, from a host that was disturbed", kIdempotent,
       [](World& it) {
         CrashEndpoints(it, 4);
         Disturb(it, Disturbance::Scope::kHost, false);
         it.history.disturbances.back()->to = it.sent_at + seconds(2);
       },
       ""},
      {"harmless streams do not begin", kIdempotent,
       [](World& it) { RefuseHarmless(it, 14); },
       "harmless requests flow while harmful ones are refused"},
      {"half of the harmless streams begin", kIdempotent,
       [](World& it) { RefuseHarmless(it, 15); }, ""},
  };
}

std::vector<CheckerCase> LimitCases() {
  using enum CallKind;
  return {
      {"18 requests where 17 are allowed", kIdempotent,
       [](World& it) { Limit(it, 18); },
       "an endpoint gets no more requests than its limit"},
      {"17 requests where 17 are allowed", kIdempotent,
       [](World& it) { Limit(it, 17); }, ""},
      {"18 requests of a host that was not told", kIdempotent,
       [](World& it) {
         Limit(it, 18);
         it.run->limit_named_at.reset();
       },
       ""},
      {"18 requests of a host that restarted since", kIdempotent,
       [](World& it) {
         Limit(it, 18);
         Disturb(it, Disturbance::Scope::kHost, false);
       },
       ""},
  };
}

// The host of the call got SIGTERM `before` seconds before the call was sent,
// and the call was cut `after` seconds after the SIGTERM.
void StopHost(World& it, double before, double after) {
  Cut(it);
  const core::TimePoint stopped_at = it.sent_at - core::FromSeconds(before);
  it.call->deadline = seconds(12);
  it.call->ended_at = stopped_at + core::FromSeconds(after);
  it.run->ended_at = it.call->ended_at + milliseconds(2);
  it.run->end = RunEnd::kCancelled;
  it.history.disturbances.push_back(std::make_shared<Disturbance>(
      Disturbance{.scope = Disturbance::Scope::kHost,
                  .is_planned = true,
                  .from = stopped_at,
                  .to = it.call->ended_at + milliseconds(300)}));
}

std::vector<CheckerCase> StopCases() {
  using enum CallKind;
  const std::string cut = "planned maintenance interrupts no requests";
  return {
      {"sent late after the SIGTERM and cut at the end of the grace",
       kLongStream, [](World& it) { StopHost(it, 3.1, 7.2); }, cut},
      {"sent early and still at work in the last sixth of the grace",
       kLongStream, [](World& it) { StopHost(it, 2.9, 7.2); }, ""},
      {"sent before the SIGTERM and still at work in the last sixth",
       kLongStream, [](World& it) { StopHost(it, -0.5, 7.2); }, ""},
      {"sent early and cut before the last sixth of the grace", kLongStream,
       [](World& it) { StopHost(it, 1, 6.6); }, cut},
      {"cut in the last sixth, but its run had ended before", kLongStream,
       [](World& it) {
         StopHost(it, 1, 7.2);
         it.run->end = RunEnd::kAnswered;
         it.run->ended_at = it.sent_at + seconds(2);
       },
       cut},
      {"cut in the last sixth without ever running", kLongStream,
       [](World& it) {
         StopHost(it, 1, 7.2);
         it.history.runs.clear();
       },
       cut},
      {"cut before its last byte was sent", kLongStream,
       [](World& it) {
         StopHost(it, 1, 2);
         it.history.runs.clear();
         it.call->whole_at.reset();
       },
       ""},
      {"cut 0.2 s after its last byte", kLongStream,
       [](World& it) {
         StopHost(it, 1, 2);
         it.history.runs.clear();
         it.call->whole_at = it.call->ended_at - milliseconds(201);
       },
       cut},
      {"cut later than 1 s after the grace", kLongStream,
       [](World& it) { StopHost(it, -1, 9.1); }, cut},
      {"cut while another host stops", kLongStream,
       [](World& it) {
         StopHost(it, 2.9, 7.2);
         it.history.disturbances.back()->host = 1;
       },
       cut},
      {"cut while an evacuation is in force", kLongStream,
       [](World& it) {
         Cut(it);
         Disturb(it, Disturbance::Scope::kEndpoint, true);
       },
       cut},
  };
}

void CheckCases(const std::vector<CheckerCase>& cases) {
  for (const CheckerCase& row : cases) {
    INFO(row.what);
    World world(row.kind);
    row.change(world);
    const std::vector<Violation> violations = world.Check();
    for (const Violation& it : violations) {
      INFO(it.guarantee << ": " << it.detail);
      CHECK(it.guarantee == row.guarantee);
    }
    CHECK(violations.empty() == row.guarantee.empty());
  }
}

TEST_CASE("the checker reports the violated guarantee") {
  CheckCases(Cases());
  CheckCases(StreamCases());
  CheckCases(EvacuationCases());
  CheckCases(EndpointNoticeCases());
  CheckCases(HarmfulPartCases());
  CheckCases(LimitCases());
  CheckCases(StopCases());
}

// A request that arrives after its refusal at "127.0.0.1:1", on connection 1.
struct RefusalCase {
  std::string what;
  RunEnd first;
  std::string address;
  uint64_t connection;
  std::string copy_of;
  RefusalCounts expected;
};

TEST_CASE("requests that come again where they were refused are counted") {
  const std::vector<RefusalCase> cases = {
      {"on the connection, with its copy",
       RunEnd::kRefused,
       "127.0.0.1:1",
       1,
       "r1",
       {0, 1, 1, 1, 1}},
      {"on the connection, without a copy",
       RunEnd::kRefused,
       "127.0.0.1:1",
       1,
       "",
       {0, 0, 0, 1, 1}},
      {"on the connection, with the copy of another refusal",
       RunEnd::kRefused,
       "127.0.0.1:1",
       1,
       "r0",
       {0, 1, 0, 1, 1}},
      {"at the address, on another connection",
       RunEnd::kRefused,
       "127.0.0.1:1",
       2,
       "",
       {0, 0, 0, 1, 0}},
      {"at another address",
       RunEnd::kRefused,
       "127.0.0.1:2",
       2,
       "",
       {0, 0, 0, 0, 0}},
      {"after an answer",
       RunEnd::kAnswered,
       "127.0.0.1:1",
       1,
       "",
       {0, 0, 0, 0, 0}},
  };
  for (const RefusalCase& row : cases) {
    INFO(row.what);
    World world(CallKind::kIdempotent);
    world.run->address = *core::SocketAddress::Parse("127.0.0.1:1");
    world.run->connection = 1;
    world.run->end = row.first;
    const auto again = world.AddRun();
    again->address = *core::SocketAddress::Parse(row.address);
    again->connection = row.connection;
    if (!row.copy_of.empty()) {
      again->copied_refusal = core::RequestId(row.copy_of);
    }
    CHECK(CountRefusals(world.history) == row.expected);
    world.history.renewals.push_back({});
    CHECK(CountRefusals(world.history).renewals == 1);
  }
}

TEST_CASE("retries beyond the budget are reported") {
  World world(CallKind::kIdempotent);
  for (int i = 0; i < 60; ++i) {
    world.AddRun();
  }
  REQUIRE(world.Check().size() == 1);
  CHECK(world.Check().front().guarantee ==
        "retries stay within the fleet's budget");
}

TEST_CASE("work that continues for disconnected callers is reported") {
  World world(CallKind::kIdempotent);
  for (int i = 0; i < 16; ++i) {
    const auto call = std::make_shared<Call>(*world.call);
    call->id = core::RequestId(fmt::format("left-{}", i));
    call->status = 0;
    call->end.reset();
    call->disconnected_at = world.sent_at + milliseconds(10);
    world.history.calls.push_back(call);
    const auto run = world.AddRun();
    run->request = call->id;
    // Work that runs to completion counts the same as work cancelled too late.
    run->end = i % 2 == 0 ? RunEnd::kCancelled : RunEnd::kAnswered;
    run->ended_at = world.sent_at + seconds(i < 6 ? 2 : 0);
  }
  REQUIRE(world.Check().size() == 1);
  CHECK(world.Check().front().guarantee ==
        "work for disconnected callers is cancelled");
}

}  // namespace
}  // namespace wasabi::soak
