// Tests RequestServer and OriginClient over real sockets with hand-written
// HTTP messages.

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/text.h"
#include "LibHttp/origin_client.h"
#include "LibHttp/request_server.h"
#include "LibHttp/tcp_stream.h"
#include "Tests/LibHttp/server_fixture.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"

namespace wasabi::http {
namespace {

using support::RawServer;

std::string Concatenate(std::string_view first, std::string_view second) {
  return fmt::format("{}{}", first, second);
}

constexpr const char* kGet = "GET /x?q=%20 HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_CASE("pipelined requests are dispatched one at a time") {
  ServerFixture it;
  it.Connect();
  it.caller->Write(Concatenate(kGet, kGet));
  it.AwaitRequests(1);
  CHECK(it.transactions[0]->request().target == "/x?q=%20");
  CHECK(it.transactions.size() == 1);
  it.transactions[0]->Respond({.status = 200, .body = "one"});
  it.AwaitRequests(2);
  it.transactions[1]->Respond({.status = 200, .body = "two"});
  it.AwaitText("two");
  CHECK(it.server->open_transactions() == 0);
}

TEST_CASE("a client disconnect is detected while its request is pending") {
  ServerFixture it;
  it.Connect();
  it.caller->Write(kGet);
  it.AwaitRequests(1);
  bool is_gone = false;
  it.transactions[0]->OnCallerGone([&is_gone]() { is_gone = true; });
  it.caller->Close();
  CHECK(RunUntil(&it.loop, [&]() { return is_gone; }));
}

TEST_CASE("a client disconnect is detected during a streamed response") {
  ServerFixture it;
  it.Connect();
  it.caller->Write(kGet);
  it.AwaitRequests(1);
  bool is_gone = false;
  it.transactions[0]->OnCallerGone([&is_gone]() { is_gone = true; });
  it.transactions[0]->StartStream(200, {}, std::nullopt);
  it.transactions[0]->Write("piece");
  it.AwaitText("piece");
  it.caller->Close();
  CHECK(RunUntil(&it.loop, [&]() { return is_gone; }));
}

TEST_CASE("an aborted response does not look complete") {
  for (const std::optional<uint64_t> length :
       {std::optional<uint64_t>(), std::optional<uint64_t>(101)}) {
    ServerFixture it;
    it.Connect();
    it.caller->Write(kGet);
    it.AwaitRequests(1);
    it.transactions[0]->StartStream(200, {}, length);
    it.transactions[0]->Write("part");
    it.transactions[0]->Abort();
    CHECK(RunUntil(&it.loop, [&]() { return it.has_ended; }));
    CHECK(it.received.find("part") != std::string::npos);
    CHECK(it.received.find("0\r\n\r\n") == std::string::npos);
  }
}

TEST_CASE("a body shorter than its declared length closes the connection") {
  ServerFixture it;
  it.Connect();
  it.caller->Write(kGet);
  it.AwaitRequests(1);
  it.transactions[0]->StartStream(200, {}, 10);
  it.transactions[0]->Write("part");
  it.transactions[0]->Finish();
  CHECK(RunUntil(&it.loop, [&]() { return it.has_ended; }));
}

TEST_CASE("a stopping server closes connections after their next response") {
  ServerFixture it;
  it.Connect();
  it.caller->Write(kGet);
  it.AwaitRequests(1);
  it.server->CloseAfterResponses();
  it.transactions[0]->Respond({.status = 200, .body = "last"});
  it.AwaitText("Connection: close");
  CHECK(RunUntil(&it.loop, [&]() { return it.has_ended; }));
}

TEST_CASE("a caller that never stops sending is closed after its response") {
  ServerFixture it;
  it.Connect();
  it.caller->Write("nonsense\r\n\r\n");
  it.AwaitText(" 400 ");
  const auto timer = it.loop.NewTimer([&it]() { it.caller->Write("more"); });
  timer->StartRepeating(core::milliseconds(50));
  CHECK(
      RunUntil(&it.loop, [&]() { return it.server->connection_count() == 0; }));
}

TEST_CASE("malformed requests are rejected and their connections closed") {
  struct Row {
    const char* text;
    const char* status;
  };
  const Row rows[] = {
      {"nonsense\r\n\r\n", " 400 "},
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       " 400 "},
  };
  for (const Row& row : rows) {
    ServerFixture it;
    it.Connect();
    it.caller->Write(row.text);
    it.AwaitText(row.status);
    CHECK(RunUntil(&it.loop, [&]() { return it.has_ended; }));
    CHECK(it.transactions.empty());
  }
}

// What the callbacks of a call received.
struct CallResult {
  std::vector<int> statuses;
  std::string body;
  std::optional<OriginOutcome> end;
};

// A client that sends requests to a raw server, and expects responses with the
// same id.
struct ClientFixture {
  ClientFixture()
      : server(&loop, support::FreeAddress(support::LoopbackIp(2))),
        client(&loop) {}

  std::shared_ptr<OriginCall> Send(CallResult* result,
                                   const std::string& id = "1",
                                   const std::string& method = "POST") {
    OriginRequest request;
    request.id = id;
    request.address = server.address();
    request.method = method;
    request.target = std::string("/");
    request.headers.Add("Id", id);
    request.body = method == "POST" ? "body" : "";
    request.connect_timeout = core::milliseconds(300);
    OriginCallbacks callbacks;
    callbacks.claim_of = [](const MessageHead& head) {
      return ResponseClaim{.ids = {head.headers.Get("Id")}};
    };
    callbacks.on_head = [result](const AnswerHead& head) {
      result->statuses.push_back(head.status());
    };
    callbacks.on_body = [result](std::string_view piece) {
      result->body.append(piece);
    };
    callbacks.on_end = [result](OriginOutcome end) { result->end = end; };
    return client.Send(request, std::move(callbacks));
  }

  CallResult SendAndAwait(const std::string& id = "1",
                          const std::string& method = "POST") {
    CallResult result;
    Send(&result, id, method);
    RunUntil(&loop, [&]() { return result.end.has_value(); });
    return result;
  }

  core::EventLoop loop;
  RawServer server;
  OriginClient client;
};

constexpr const char* kExpectedResponse =
    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* kSecondResponse =
    "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* kUnrelatedResponse =
    "HTTP/1.1 503 No\r\nId: 0\r\nContent-Length: 3\r\n\r\nbad";

struct ResponseCase {
  const char* what;
  std::string answer;
  // True if the server closes the connection after the response.
  bool closes;
  OriginOutcome end;
  std::string body;
  // True if the connection is reused for the next request.
  bool is_reused;
};

TEST_CASE("responses are validated and matched to their request") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string interim;
  for (int i = 0; i < 1000; ++i) {
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  const ResponseCase cases[] = {
      {"a complete response", kExpectedResponse, false,
       OriginOutcome::kComplete, "ok", true},
      {"an unrelated response first",
       Concatenate(kUnrelatedResponse, kExpectedResponse), false,
       OriginOutcome::kComplete, "ok", true},
      {"an interim response first",
       Concatenate("HTTP/1.1 102 Processing\r\n\r\n", kExpectedResponse), false,
       OriginOutcome::kComplete, "ok", true},
      {"bytes after the response",
       Concatenate(kExpectedResponse, kUnrelatedResponse), false,
       OriginOutcome::kComplete, "ok", false},
      {"Connection: close",
       "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n"
       "Content-Length: 2\r\n\r\nok",
       false, OriginOutcome::kComplete, "ok", false},
      {"no length, delimited by an orderly close",
       "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", true, OriginOutcome::kComplete,
       "ok", false},
      {"a truncated body",
       "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok", true,
       OriginOutcome::kCut, "ok", false},
      {"a truncated chunked body", Concatenate(chunked, "2\r\nok\r\n"), true,
       OriginOutcome::kCut, "ok", false},
      {"no response", "", true, OriginOutcome::kCut, "", false},
      {"not HTTP", "garbage\r\n\r\n", false, OriginOutcome::kMalformed, "",
       false},
      {"only an unrelated response", kUnrelatedResponse, true,
       OriginOutcome::kCut, "", false},
      {"endless bytes that are no head", std::string(1U << 20U, 'x'), false,
       OriginOutcome::kMalformed, "", false},
      {"an endless field of a head",
       "HTTP/1.1 200 OK\r\nX: " + std::string(1U << 20U, 'x'), false,
       OriginOutcome::kOversized, "", false},
      {"endless interim responses", interim, false, OriginOutcome::kOversized,
       "", false},
      {"an endless unrelated response",
       "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n" + std::string(1U << 20U, 'x'), false,
       OriginOutcome::kOversized, "", false},
  };
  for (const ResponseCase& row : cases) {
    INFO(row.what);
    ClientFixture it;
    it.server.SetAnswer(row.answer, row.closes);
    const CallResult first = it.SendAndAwait();
    CHECK(first.end == row.end);
    CHECK(first.body == row.body);
    it.server.SetAnswer(kSecondResponse, false);
    CHECK(it.SendAndAwait("2").end == OriginOutcome::kComplete);
    CHECK(it.server.accepted() == (row.is_reused ? 1U : 2U));
    CHECK(it.server.requests() == 2);
  }
}

TEST_CASE("a call reports how its connection was used") {
  ClientFixture it;
  it.server.SetAnswer(Concatenate(kUnrelatedResponse, kExpectedResponse),
                      false);
  CallResult result;
  const auto first = it.Send(&result);
  REQUIRE(RunUntil(&it.loop, [&]() { return result.end.has_value(); }));
  CHECK(first->use() == ConnectionUse{.connection = 1,
                                      .call = 1,
                                      .sends_of_id = 1,
                                      .skipped_responses = 1});
  it.server.SetAnswer(kSecondResponse, false);
  result.end.reset();
  const auto second = it.Send(&result, "2");
  REQUIRE(RunUntil(&it.loop, [&]() { return result.end.has_value(); }));
  CHECK(second->use() ==
        ConnectionUse{.connection = 1, .call = 2, .sends_of_id = 1});
}

TEST_CASE("a request is not retried when a reused connection breaks") {
  ClientFixture it;
  it.server.SetAnswer(kExpectedResponse, false);
  REQUIRE(it.SendAndAwait().end == OriginOutcome::kComplete);
  it.server.SetAnswer("", true);
  CHECK(it.SendAndAwait("2").end == OriginOutcome::kCut);
  CHECK(it.server.requests() == 2);
}

TEST_CASE("a refused connection is reported as not sent") {
  ClientFixture it;
  it.server.StopListening();
  CHECK(it.SendAndAwait().end == OriginOutcome::kNotSent);
}

TEST_CASE("a cancelled call closes its connection and gets no callback") {
  ClientFixture it;
  it.server.SetAnswer("", false);
  CallResult result;
  const auto call = it.Send(&result);
  REQUIRE(RunUntil(&it.loop, [&]() { return it.server.requests() == 1; }));
  call->Cancel();
  CHECK(RunUntil(&it.loop, [&]() { return it.server.open() == 0; }));
  CHECK_FALSE(result.end.has_value());
}

TEST_CASE("an idle connection that the server closed is not reused") {
  ClientFixture it;
  it.server.SetAnswer(kExpectedResponse, false);
  REQUIRE(it.SendAndAwait().end == OriginOutcome::kComplete);
  it.server.CloseAll();
  REQUIRE(RunUntil(&it.loop, [&]() { return it.server.open() == 0; }));
  bool has_waited = false;
  const auto timer = it.loop.NewTimer([&has_waited]() { has_waited = true; });
  timer->StartOnce(core::milliseconds(50));
  REQUIRE(RunUntil(&it.loop, [&]() { return has_waited; }));
  it.server.SetAnswer(kSecondResponse, false);
  CHECK(it.SendAndAwait("2").end == OriginOutcome::kComplete);
  CHECK(it.server.accepted() == 2);
}

TEST_CASE("a request is not sent again on a connection that has carried it") {
  ClientFixture it;
  it.server.SetAnswer(kExpectedResponse, false);
  REQUIRE(it.SendAndAwait().end == OriginOutcome::kComplete);
  CHECK(it.SendAndAwait().end == OriginOutcome::kComplete);
  CHECK(it.server.accepted() == 2);
  // Both connections carried the request.
  CHECK(it.SendAndAwait().end == OriginOutcome::kComplete);
  CHECK(it.server.accepted() == 3);
  it.server.SetAnswer(kSecondResponse, false);
  CHECK(it.SendAndAwait("2").end == OriginOutcome::kComplete);
  CHECK(it.server.accepted() == 3);
}

TEST_CASE("a HEAD request shares its connection with no other") {
  // The methods of three requests in a row, of which one is a HEAD.
  const std::vector<std::string> rows[] = {{"HEAD", "POST", "POST"},
                                           {"POST", "HEAD", "POST"}};
  for (const auto& methods : rows) {
    ClientFixture it;
    it.server.SetResponder([](const std::string& text) {
      const std::string head =
          fmt::format("HTTP/1.1 200 OK\r\nId: {}\r\nContent-Length: 2\r\n\r\n",
                      text.substr(text.find("\r\nId: ") + 6, 1));
      return text.starts_with("HEAD") ? head : head + "ok";
    });
    for (size_t i = 0; i < methods.size(); ++i) {
      CHECK(it.SendAndAwait(std::to_string(i), methods[i]).end ==
            OriginOutcome::kComplete);
    }
    CHECK(it.server.accepted() == 2);
  }
}

TEST_CASE("the handle of a call that has ended does not act on the next one") {
  ClientFixture it;
  it.server.SetAnswer(kExpectedResponse, false);
  CallResult result;
  const auto first = it.Send(&result);
  REQUIRE(RunUntil(&it.loop, [&]() { return result.end.has_value(); }));
  it.server.SetAnswer("", false);
  CallResult next;
  const auto second = it.Send(&next, "2");
  REQUIRE(RunUntil(&it.loop, [&]() { return it.server.requests() == 2; }));
  CHECK(it.server.accepted() == 1);
  CHECK(first->use().call == 1);
  CHECK(second->use().call == 2);
  first->SetReading(false);
  first->Cancel();
  it.server.WriteToAll(kSecondResponse);
  REQUIRE(RunUntil(&it.loop, [&]() { return next.end.has_value(); }));
  CHECK(next.end == OriginOutcome::kComplete);
}

TEST_CASE("a connection that may carry no further request is closed") {
  ClientFixture it;
  it.server.SetResponder([](const std::string& text) {
    const size_t start = text.find("\r\nId: ") + 6;
    return fmt::format(
        "HTTP/1.1 200 OK\r\nId: {}\r\nContent-Length: 2\r\n\r\nok",
        text.substr(start, text.find("\r\n", start) - start));
  });
  for (size_t i = 0; i < SendLedger::kMaxSends + 1; ++i) {
    REQUIRE(it.SendAndAwait(std::to_string(i)).end == OriginOutcome::kComplete);
  }
  CHECK(it.server.accepted() == 2);
  CHECK(RunUntil(&it.loop, [&]() { return it.server.open() == 1; }));
}

TEST_CASE("a connection on which something waits unread is not reused") {
  struct Row {
    const char* what;
    void (*write)(RawServer* server);
  };
  const Row rows[] = {
      {"its end", [](RawServer* server) { server->CloseAll(); }},
      {"a copy of the response",
       [](RawServer* server) { server->WriteToAll(kExpectedResponse); }},
  };
  for (const Row& row : rows) {
    INFO(row.what);
    ClientFixture it;
    it.server.SetAnswer(kExpectedResponse, false);
    REQUIRE(it.SendAndAwait().end == OriginOutcome::kComplete);
    row.write(&it.server);
    it.server.SetAnswer(kSecondResponse, false);
    CHECK(it.SendAndAwait("2").end == OriginOutcome::kComplete);
    CHECK(it.server.accepted() == 2);
  }
}

}  // namespace
}  // namespace wasabi::http
