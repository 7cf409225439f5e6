// Regression test: an endpoint that may have restarted since its registration
// was read may run another software version. A stream must not go on there.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ChunkedStreamStart;
using support::ForwarderFixture;
using support::kClose;
using support::kStreamEnd;

constexpr const char* kEvent1 = "id: 1\ndata: a\n\n";
constexpr const char* kEvent2 = "id: 2\ndata: b\n\n";

// Until the host knows of closed connections.
constexpr core::Duration kCloseTime = core::milliseconds(10);

void RunFor(ForwarderFixture& it, core::Duration duration) {
  const core::TimePoint end = it.loop.Now() + duration;
  it.RunUntil([&]() { return it.loop.Now() >= end; });
}

struct RestartCase {
  const char* what;
  bool is_store_down;
  // The only other endpoint has closed all its connections at once.
  bool has_broken_connection;
  bool goes_on;
};

TEST_CASE("a stream is not continued at an endpoint that may have restarted") {
  const RestartCase cases[] = {
      {"the store works", false, false, true},
      {"the store is away", true, false, true},
      {"the store works, a connection broke", false, true, true},
      {"the store is away, a connection broke", true, true, false},
  };
  for (const RestartCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it({.is_first_start = true});
    it.Configure();
    it.store->SetDown(row.is_store_down);
    it.request_id = "id0";
    // Requests reach both endpoints until the second one has served some.
    for (int i = 0; i < 20 && it.second.requests() < 2; ++i) {
      it.script = {ChunkedStreamStart(kEvent1 + std::string(kEvent2), "id0") +
                   kStreamEnd};
      it.Get("/resumable/1");
    }
    REQUIRE(it.second.requests() >= 2);
    if (row.has_broken_connection) {
      // The endpoint has crashed and is back at once at its address.
      it.second.CloseAll();
    }
    RunFor(it, core::milliseconds(300));
    // Only streams that begin at the first endpoint count.
    bool has_begun = false;
    for (int i = 0; i < 40 && !has_begun; ++i) {
      const int first_before = it.first.requests();
      const int second_before = it.second.requests();
      it.request_id = fmt::format("id{}", i + 1);
      it.script = {ChunkedStreamStart(kEvent1, it.request_id) + kClose,
                   ChunkedStreamStart(kEvent2, it.request_id) + kStreamEnd};
      const CallerResult result = it.Get("/resumable/1");
      const int at_first = it.first.requests() - first_before;
      const int at_second = it.second.requests() - second_before;
      if (at_first == 0) {
        continue;
      }
      has_begun = true;
      INFO(at_first << " " << at_second << " " << result.body);
      CHECK((at_second > 0) == row.goes_on);
    }
    CHECK(has_begun);
  }
}

// Begins a stream at `server`, whose caller leaves after its first event.
// Streams that begin at the other endpoint don't count. Returns the id of the
// attempt.
std::string BeginAt(ForwarderFixture& it,
                    const support::RawServer& server,
                    const std::string& id) {
  constexpr int kTries = 60;
  for (int i = 0; i < kTries; ++i) {
    const int before = server.requests();
    it.request_id = fmt::format("{}-{}", id, i);
    it.script = {ChunkedStreamStart(kEvent1, it.request_id)};
    CallerResult result;
    const auto call =
        it.Send("/resumable/1",
                {{"Authorization", "Bearer k1"}, {"Deadline-Ms", "1500"}},
                false, &result);
    REQUIRE(it.RunUntil([&]() { return !result.body.empty(); }));
    call->Cancel();
    RunFor(it, core::milliseconds(20));
    if (server.requests() > before) {
      return it.request_id;
    }
  }
  FAIL("no stream has begun at the endpoint");
  return "";
}

// Takes up the stream that began with `first_attempt`, as its caller does.
CallerResult TakeUp(ForwarderFixture& it, const std::string& first_attempt) {
  it.request_id = first_attempt + "-again";
  it.script = {ChunkedStreamStart(kEvent2, it.request_id) + kStreamEnd};
  return it.Get("/resumable/1", false,
                {{"Last-Event-Id", "1"}, {"Resumes", first_attempt}});
}

// Leaves an idle connection to each endpoint.
void ConnectToBoth(ForwarderFixture& it) {
  for (int i = 0; i < 60; ++i) {
    it.request_id = fmt::format("warm{}", i);
    it.script = {ChunkedStreamStart(kEvent1, it.request_id) + kStreamEnd};
    it.Get("/resumable/1");
    if (it.first.open() > 0 && it.second.open() > 0) {
      return;
    }
  }
  FAIL("one endpoint gets no requests");
}

// Registers the second endpoint as a new start of version 2.
void RegisterRestarted(ForwarderFixture& it) {
  it.store->Write(
      it.names.registrations, "e2",
      fmt::format(
          R"({{"service":"p","address":"{}","zone":"z1","version":"v2",)"
          R"("slots":8,"state":"ready","cold_left_ms":0,"seq":1,"born":2}})",
          it.second.address().ToString()));
}

struct TakenUpCase {
  const char* what;
  bool is_store_down;
  bool has_broken_connection;
  // Time for which the endpoint serves then without a new registration.
  core::Duration served_before{};
  // The registration of the new start is in the store, not yet in the view.
  bool is_registered_anew;
  int status;
};

void CheckTakenUp(const TakenUpCase& row) {
  INFO(row.what);
  ForwarderFixture it({.is_first_start = true});
  it.Configure();
  const std::string id = BeginAt(it, it.first, "id");
  ConnectToBoth(it);
  it.store->Write(it.names.registrations, "e1", std::nullopt);
  RunFor(it, core::milliseconds(400));
  it.store->SetDown(row.is_store_down);
  if (row.has_broken_connection) {
    it.second.CloseAll();
    RunFor(it, kCloseTime + row.served_before);
  }
  if (row.is_registered_anew) {
    RegisterRestarted(it);
  }
  if (row.is_store_down) {
    RunFor(it, core::milliseconds(400));
  }
  const int before = it.second.requests();
  const core::TimePoint started_at = it.loop.Now();
  CHECK(TakeUp(it, id).status == row.status);
  CHECK(it.second.requests() - before == (row.status == 200 ? 1 : 0));
  // What can't be served is refused at once.
  CHECK(it.loop.Now() - started_at < core::milliseconds(700));
}

TEST_CASE("a stream is not taken up at an endpoint that may have restarted") {
  const TakenUpCase cases[] = {
      {"the store is away", true, false, {}, false, 200},
      {"the store is away, its connections broke", true, true, {}, false, 503},
      {"its connections were reset", false, true, {}, false, 200},
  };
  for (const TakenUpCase& row : cases) {
    CheckTakenUp(row);
  }
}

// The test unregistered_start_test, which KNOWN-RED.txt lists.
TEST_CASE("a stream is taken up at a start that was not registered",
          "[.][unregistered]") {
  // Within it, a host reads the registrations more than once.
  constexpr core::Duration kUnregisteredTime = core::milliseconds(2600);
  const TakenUpCase cases[] = {
      {"it has started again", false, true, {}, true, 503},
      {"it has served before it registered", false, true, kUnregisteredTime,
       true, 503},
  };
  for (const TakenUpCase& row : cases) {
    CheckTakenUp(row);
  }
}

TEST_CASE("a stream that began after a restart is not taken up as before it") {
  ForwarderFixture it({.is_first_start = true});
  it.Configure();
  ConnectToBoth(it);
  it.store->SetDown(true);
  RunFor(it, core::milliseconds(300));
  // The second endpoint is another start with another version.
  it.second.CloseAll();
  RunFor(it, core::milliseconds(100));
  const std::string id = BeginAt(it, it.second, "id");
  const int first_before = it.first.requests();
  SECTION("while the store is away") {
    CHECK(TakeUp(it, id).status == 503);
  }
  SECTION("before the endpoint has registered again") {
    it.store->SetDown(false);
    RunFor(it, core::milliseconds(700));
    TakeUp(it, id);
  }
  SECTION("after the endpoint has registered again") {
    it.store->SetDown(false);
    RegisterRestarted(it);
    RunFor(it, core::milliseconds(3500));
    const int second_before = it.second.requests();
    CHECK(TakeUp(it, id).status == 200);
    CHECK(it.second.requests() == second_before + 1);
  }
  CHECK(it.first.requests() == first_before);
}

// Guards against streams that are lost because all connections were reset while
// the endpoints live on: at least half of them must go on.
TEST_CASE("streams go on after all connections were reset") {
  constexpr int kStreams = 12;
  ForwarderFixture it({.is_first_start = true});
  it.Configure();
  it.store->Write(it.names.registrations, "e1", std::nullopt);
  RunFor(it, core::milliseconds(400));
  int resumed = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = BeginAt(it, it.second, fmt::format("id{}", i));
    it.request_id = fmt::format("idle{}", i);
    it.script = {ChunkedStreamStart(kEvent1, it.request_id) + kStreamEnd};
    it.Get("/resumable/1");
    REQUIRE(it.second.open() > 0);
    it.second.CloseAll();
    RunFor(it, kCloseTime);
    resumed += TakeUp(it, id).status == 200 ? 1 : 0;
  }
  UNSCOPED_INFO("resumed " << resumed);
  CHECK(2 * resumed >= kStreams);
}

TEST_CASE("a stream goes on in one answer after all connections were reset") {
  ForwarderFixture it({.is_first_start = true});
  it.Configure();
  ConnectToBoth(it);
  const int first_before = it.first.requests();
  it.request_id = "one";
  it.script = {ChunkedStreamStart(kEvent1, "one"),
               ChunkedStreamStart(kEvent2, "one") + kStreamEnd};
  CallerResult result;
  it.Send("/resumable/1",
          {{"Authorization", "Bearer k1"}, {"Deadline-Ms", "1500"}}, false,
          &result);
  REQUIRE(it.RunUntil([&]() { return !result.body.empty(); }));
  const bool is_at_first = it.first.requests() > first_before;
  support::RawServer& other = is_at_first ? it.second : it.first;
  REQUIRE(other.open() > 0);
  other.CloseAll();
  RunFor(it, kCloseTime);
  (is_at_first ? it.first : it.second).CloseAll();
  REQUIRE(it.RunUntil([&]() { return result.end.has_value(); }));
  CHECK(result.body == std::string(kEvent1) + kEvent2);
}

}  // namespace
}  // namespace wasabi::forwarder
