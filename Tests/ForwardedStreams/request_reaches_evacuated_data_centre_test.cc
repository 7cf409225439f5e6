// Regression test: no request may reach an endpoint of a data centre that the
// operator has evacuated: neither a new one, nor one that was queued, is sent
// again, goes on with a stream, takes another host's tunnel, or is the first of
// a host that has just started.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/free_address.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ChunkedStreamStart;
using support::ForwarderFixture;
using support::kClose;
using support::kStreamEnd;
using support::RawServer;

constexpr const char* kKey = "evacuate/z1";
// Time from the operator's record until no request reaches the data centre.
constexpr core::Duration kEvacuationBound = core::seconds(5);
constexpr core::Duration kAtOnce = core::milliseconds(100);
constexpr const char* kEvent1 = "id: 1\ndata: a\n\n";
constexpr const char* kEvent2 = "id: 2\ndata: b\n\n";

// The endpoint "e1" is in the data centre z2. The host and "e2" are in z1, so
// that "e2" is preferred while z1 is not evacuated.
struct Fixture : ForwarderFixture {
  explicit Fixture(const char* second_version = "v1") {
    data_centres = {{"e1", "z2"}};
    Register("e1", first, "ready");
    Register("e2", second, "ready", "p", second_version);
  }

  void AnswerAll() {
    for (RawServer* server : {&first, &second}) {
      server->SetResponder([](const std::string& /*text*/) {
        return support::ScriptedSuccess("ok");
      });
    }
  }

  void Wait(core::Duration time) {
    const core::TimePoint end = loop.Now() + time;
    RunUntil([&]() { return loop.Now() >= end; });
  }

  void Order(const std::string& key, bool is_dropped = false) {
    store->Write(names.configuration, key,
                 is_dropped ? std::nullopt : std::optional<std::string>("{}"));
  }

  // Waits until the daemon says that `n` data centres are evacuated.
  void AwaitEvacuated(int n) {
    const auto gauge = fmt::format("wasabi_evacuated_data_centres {}\n", n);
    const core::TimePoint end = loop.Now() + kEvacuationBound;
    while (GetInternal("/metrics", settings).find(gauge) == std::string::npos) {
      REQUIRE(loop.Now() < end);
    }
  }

  // Sends `n` requests. Returns how many were served.
  int Serve(int n) {
    int served = 0;
    for (int i = 0; i < n; ++i) {
      served += Get("/unsafe/1").status == 200 ? 1 : 0;
    }
    return served;
  }
};

TEST_CASE("requests avoid an evacuated data centre until the key is dropped") {
  Fixture it;
  it.AnswerAll();
  it.Configure();
  CHECK(it.Serve(40) == 40);
  CHECK(it.second.requests() > 0);
  it.Order(kKey);
  it.AwaitEvacuated(1);
  const int before = it.second.requests();
  CHECK(it.Serve(40) == 40);
  CHECK(it.second.requests() == before);
  it.Order(kKey, true);
  it.AwaitEvacuated(0);
  CHECK(it.Serve(40) == 40);
  CHECK(it.second.requests() > before);
}

TEST_CASE("a request without an endpoint elsewhere is refused at once") {
  Fixture it;
  it.AnswerAll();
  it.Configure();
  it.Order(kKey);
  it.Order("evacuate/z2");
  it.AwaitEvacuated(2);
  for (const char* target : {"/unsafe/1", "/safe/1", "/resumable/1"}) {
    INFO(target);
    const core::TimePoint started_at = it.loop.Now();
    const CallerResult result = it.Get(target);
    CHECK(result.status == 503);
    CHECK(result.headers.Find("Retry-After").has_value());
    CHECK(it.loop.Now() - started_at < kAtOnce);
  }
  CHECK(it.first.requests() + it.second.requests() == 0);
}

TEST_CASE("a queued request does not start in an evacuated data centre") {
  Fixture it;
  it.Configure();
  // Both endpoints are full and do not answer.
  constexpr int kInFlight = 16;
  std::vector<CallerResult> running(kInFlight);
  std::vector<CallerResult> queued(4);
  const auto send = [&it](CallerResult& result) {
    it.Send("/unsafe/1",
            {{"Authorization", "Bearer k1"}, {"Deadline-Ms", "8000"}}, false,
            &result);
  };
  for (CallerResult& result : running) {
    send(result);
  }
  REQUIRE(it.RunUntil([&]() { return it.received.size() >= kInFlight; }));
  for (CallerResult& result : queued) {
    send(result);
  }
  it.Wait(core::milliseconds(50));
  it.Order(kKey);
  it.AwaitEvacuated(1);
  const int before = it.second.requests();
  REQUIRE(before > 0);
  // Room at the evacuated endpoint starts none of them.
  it.second.WriteToAll(support::ScriptedSuccess("ok"));
  it.Wait(core::milliseconds(300));
  CHECK(it.second.requests() == before);
  // Those that ran there were served.
  int served = 0;
  for (const CallerResult& result : running) {
    served += result.status == 200 ? 1 : 0;
  }
  CHECK(served == before);
  // Room elsewhere does.
  it.AnswerAll();
  it.first.WriteToAll(support::ScriptedSuccess("ok"));
  REQUIRE(it.RunUntil([&]() {
    return std::all_of(queued.begin(), queued.end(), [](const auto& result) {
      return result.end.has_value();
    });
  }));
  CHECK(it.second.requests() == before);
}

struct AgainCase {
  const char* what;
  const char* target;
  std::vector<std::string> script;
};

TEST_CASE("a request is not sent again to an evacuated data centre") {
  const AgainCase cases[] = {
      {"a retry", "/safe/1", {std::string(1, kClose), ""}},
      {"a refusal",
       "/unsafe/1",
       {support::ScriptedAnswer(503, "Not-Executed: 1\r\n", ""), ""}},
      {"a stream that was cut",
       "/resumable/1",
       {ChunkedStreamStart(kEvent1) + kClose, ""}},
  };
  for (const AgainCase& row : cases) {
    INFO(row.what);
    Fixture it;
    it.Configure();
    it.Order(kKey);
    it.AwaitEvacuated(1);
    it.script.assign(row.script.begin(), row.script.end());
    const CallerResult result = it.Get(row.target);
    CHECK(result.end.has_value());
    CHECK(it.received.size() == 1);
    CHECK(it.second.requests() == 0);
  }
}

TEST_CASE(
    "a stream in an evacuated data centre ends there, but is not resumed") {
  // The versions differ, so that only the second endpoint can resume it.
  Fixture it("v2");
  it.Configure();
  CallerResult stream;
  it.script = {ChunkedStreamStart(kEvent1)};
  it.Send("/resumable/1",
          {{"Authorization", "Bearer k1"}, {"Deadline-Ms", "8000"}}, false,
          &stream);
  REQUIRE(it.RunUntil([&]() { return !stream.body.empty(); }));
  REQUIRE(it.second.requests() == 1);
  it.Order(kKey);
  it.AwaitEvacuated(1);
  const core::TimePoint started_at = it.loop.Now();
  const CallerResult resumed = it.Get(
      "/resumable/1", false, {{"Last-Event-Id", "1"}, {"Resumes", "id1"}});
  CHECK(resumed.status == 503);
  CHECK(resumed.headers.Find("Retry-After").has_value());
  CHECK(it.loop.Now() - started_at < kAtOnce);
  CHECK(it.second.requests() == 1);
  it.second.WriteToAll(fmt::format("{:x}\r\n{}\r\n{}",
                                   std::string_view(kEvent2).size(), kEvent2,
                                   kStreamEnd));
  REQUIRE(it.RunUntil([&]() { return stream.end.has_value(); }));
  CHECK(stream.body == std::string(kEvent1) + kEvent2);
}

TEST_CASE("a restarted host obeys an evacuation before its first request") {
  Fixture it;
  it.AnswerAll();
  it.Configure();
  it.Order(kKey);
  it.AwaitEvacuated(1);
  it.Restart();
  int served = 0;
  it.RunUntil([&]() {
    served += it.Get("/unsafe/1").status == 200 ? 1 : 0;
    return served >= 20;
  });
  CHECK(served == 20);
  CHECK(it.second.requests() == 0);
}

TEST_CASE("a tunnel does not lead into an evacuated data centre") {
  Fixture it;
  it.AnswerAll();
  // Nothing listens there, so this host needs a carrier.
  it.links = {{"e1", support::FreeAddress(support::LoopbackIp(30))},
              {"e2", support::FreeAddress(support::LoopbackIp(31))}};
  it.Configure();
  const auto* peer = it.AddPeer("h2");
  it.Serve(10);
  it.Wait(core::seconds(1));
  CHECK(it.Serve(40) == 40);
  it.Order(kKey);
  peer->store->Write(it.names.configuration, kKey, "{}");
  it.AwaitEvacuated(1);
  const int before = it.second.requests();
  CHECK(it.Serve(40) == 40);
  CHECK(it.second.requests() == before);
}

}  // namespace
}  // namespace wasabi::forwarder
