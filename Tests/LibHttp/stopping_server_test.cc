// Guards against requests that end without an answer because their server
// stops listening.

#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/text.h"
#include "Tests/LibHttp/blocking_client.h"
#include "Tests/LibHttp/server_fixture.h"

namespace wasabi::http {
namespace {

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

void Wait(core::EventLoop* loop, core::Duration time) {
  const core::TimePoint end = loop->Now() + time;
  RunUntil(loop, [&]() { return loop->Now() >= end; });
}

enum class Sent : uint8_t {
  kOnUnacceptedConnection,
  kOnIdleConnection,
  kAfterStopOnNewConnection,
  kInTwoParts,
};

struct StopCase {
  const char* what;
  Sent sent;
};

TEST_CASE("a request that was sent before the server stopped is answered") {
  const StopCase cases[] = {
      {"its connection has not been accepted", Sent::kOnUnacceptedConnection},
      {"it has not been read from an idle connection", Sent::kOnIdleConnection},
      {"its connection is new and it follows", Sent::kAfterStopOnNewConnection},
      {"a part of it has arrived", Sent::kInTwoParts},
  };
  for (const StopCase& row : cases) {
    INFO(row.what);
    ServerFixture it;
    BlockingClient client(it.address);
    size_t requests = 1;
    switch (row.sent) {
      case Sent::kOnUnacceptedConnection:
        client.Write(kGet);
        it.server->StopListening();
        it.Start(client.ToStream(&it.loop));
        break;
      case Sent::kOnIdleConnection:
        client.Write(kGet);
        it.Start(client.ToStream(&it.loop));
        it.AwaitRequests(1);
        it.transactions[0]->Respond({.status = 200, .body = "first"});
        it.AwaitText("first");
        it.received.clear();
        it.server->CloseAfterResponses();
        client.Write(kGet);
        it.server->StopListening();
        requests = 2;
        break;
      case Sent::kAfterStopOnNewConnection:
        it.Start(client.ToStream(&it.loop));
        REQUIRE(RunUntil(&it.loop,
                         [&]() { return it.server->connection_count() == 1; }));
        it.server->StopListening();
        Wait(&it.loop, core::milliseconds(100));
        client.Write(kGet);
        break;
      case Sent::kInTwoParts:
        client.Write(kGet.substr(0, kGet.size() / 2));
        it.Start(client.ToStream(&it.loop));
        Wait(&it.loop, core::milliseconds(50));
        it.server->StopListening();
        client.Write(kGet.substr(kGet.size() / 2));
        break;
    }
    CHECK(RunUntil(&it.loop, [&]() {
      return it.has_ended || it.transactions.size() >= requests;
    }));
    CHECK(it.transactions.size() == requests);
    if (it.transactions.size() == requests) {
      it.transactions.back()->Respond({.status = 200, .body = "whole"});
      CHECK(RunUntil(&it.loop, [&]() {
        return it.received.find("whole") != std::string::npos;
      }));
    }
    it.caller->Close();
    CHECK(RunUntil(&it.loop,
                   [&]() { return it.server->connection_count() == 0; }));
  }
}

TEST_CASE("a stopping server closes connections that stay without a request") {
  ServerFixture it;
  it.Connect();
  REQUIRE(
      RunUntil(&it.loop, [&]() { return it.server->connection_count() == 1; }));
  it.server->StopListening();
  CHECK(RunUntil(&it.loop, [&]() { return it.has_ended; }));
}

TEST_CASE("a request whose rest never arrives is refused") {
  ServerFixture it;
  it.Connect();
  it.caller->Write(
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab");
  Wait(&it.loop, core::milliseconds(50));
  it.server->StopListening();
  it.server->RefuseUnread();
  it.AwaitText(" 503 ");
  CHECK(it.transactions.empty());
  CHECK(RunUntil(&it.loop, [&]() { return it.has_ended; }));
}

TEST_CASE("a half-received request that is refused is reported with its head") {
  struct Row {
    const char* what;
    std::string_view sent;
    const char* id;
  };
  const Row rows[] = {
      {"its body is not complete",
       "POST /x HTTP/1.1\r\nRequest-Id: id7\r\nContent-Length: 9\r\n\r\nab",
       "id7"},
      {"its head is not complete", "POST /x HTTP/1.1\r\nRequest-Id: id7\r\n",
       ""},
  };
  for (const Row& row : rows) {
    INFO(row.what);
    ServerFixture it;
    std::vector<std::string> ids;
    it.server->SetRejectObserver(
        [&](int /*status*/, const InboundRequest& request) {
          ids.push_back(request.headers.Get("Request-Id"));
        });
    it.Connect();
    it.caller->Write(row.sent);
    Wait(&it.loop, core::milliseconds(50));
    it.server->StopListening();
    it.server->RefuseUnread();
    it.AwaitText(" 503 ");
    CHECK(ids == std::vector<std::string>{row.id});
  }
}

}  // namespace
}  // namespace wasabi::http
