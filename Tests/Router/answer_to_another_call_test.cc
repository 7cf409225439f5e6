// Guards against an answer to another request or attempt, also an error, that
// is taken for the answer to the call that was sent.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Services/Router/engine_attempt.h"
#include "Services/Router/service_caller.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"
#include "Tests/Support/malformed_heads.h"

namespace wasabi::router {
namespace {

using core::ResultCode;

constexpr core::Duration kTimeout = core::seconds(5);
constexpr const char* kThis = "X-Request-Id: request-1\r\nX-Attempt: 2\r\n";
constexpr const char* kOtherRequest =
    "X-Request-Id: request-0\r\nX-Attempt: 2\r\n";
constexpr const char* kOtherAttempt =
    "X-Request-Id: request-1\r\nX-Attempt: 1\r\n";
constexpr const char* kNone = "";

struct CallCase {
  const char* what;
  int status;
  const char* ids;
  ResultCode engine_code;
  ResultCode service_code;
};

const CallCase kCalls[] = {
    {"a refusal of this call", 503, kThis, ResultCode::kOverloaded,
     ResultCode::kPeerUnreachable},
    {"a refusal without ids", 503, kNone, ResultCode::kOverloaded,
     ResultCode::kPeerUnreachable},
    {"a refusal of another request", 503, kOtherRequest,
     ResultCode::kMismatchedAnswer, ResultCode::kMismatchedAnswer},
    {"a refusal of another attempt", 503, kOtherAttempt,
     ResultCode::kMismatchedAnswer, ResultCode::kMismatchedAnswer},
    {"an error of this call", 400, kThis, ResultCode::kMalformedRequest,
     ResultCode::kOk},
    {"an error of another request", 400, kOtherRequest,
     ResultCode::kMismatchedAnswer, ResultCode::kMismatchedAnswer},
    {"a success of another request", 200, kOtherRequest,
     ResultCode::kMismatchedAnswer, ResultCode::kMismatchedAnswer},
    {"a success of another attempt", 200, kOtherAttempt,
     ResultCode::kMismatchedAnswer, ResultCode::kMismatchedAnswer},
    {"a success without ids", 200, kNone, ResultCode::kMismatchedAnswer,
     ResultCode::kOk},
};

// A server that gives `row`'s answer to each call, and a client of it.
struct AnsweringServer {
  explicit AnsweringServer(const CallCase& row)
      : server(&loop, support::FreeAddress(support::LoopbackIp(4))),
        client(&loop) {
    server.SetAnswer(fmt::format("HTTP/1.1 {} X\r\n{}X-Result-Code: {}\r\n"
                                 "Content-Length: 2\r\n\r\n{{}}",
                                 row.status, row.ids,
                                 static_cast<int>(ResultCode::kOverloaded)),
                     false);
  }

  // Runs the loop until the call has ended. Returns how.
  std::optional<ResultCode> Await() {
    const auto watchdog = loop.NewTimer([this] { loop.Stop(); });
    watchdog->StartOnce(kTimeout);
    code.reset();
    loop.Run();
    return code;
  }
  void End(const absl::Status& status) {
    code = core::CodeOf(status);
    loop.Stop();
  }

  core::EventLoop loop;
  support::RawServer server;
  http::Client client;
  std::optional<ResultCode> code;
};

// Sends an attempt to an engine. Returns how it ended.
std::optional<ResultCode> AskEngine(AnsweringServer* it) {
  EngineAttemptRequest request;
  request.engine = it->server.address();
  request.request_id = std::string("request-1");
  request.attempt = 2;
  request.body = std::string("{}");
  EngineAttempt::Start(
      &it->client, request,
      {.on_chunk = [](std::string_view /*payload*/) {},
       .on_done = [it](const absl::Status& status) { it->End(status); }},
      it->loop.Now());
  return it->Await();
}

// Calls a service. Returns how the call ended.
std::optional<ResultCode> CallService(AnsweringServer* it) {
  core::EventRing events("test", 100);
  EndpointDirectory directory;
  platform::ListedHost host;
  host.id = std::string("service-1");
  host.kind = platform::HostKind::kService;
  host.pool = core::PoolId("p");
  host.address = it->server.address();
  directory.SetHostList({.version = 1, .hosts = {host}});
  ServiceCaller caller(&it->loop, &it->client, &events, &directory);
  ServiceCall call;
  call.pool = host.pool;
  call.path = std::string("/call");
  call.request_id = std::string("request-1");
  call.attempt = 2;
  call.deadline = it->loop.Now() + kTimeout;
  caller.Call(call, [it](const absl::StatusOr<http::ClientResponse>& response) {
    it->End(response.status());
  });
  return it->Await();
}

TEST_CASE("an engine's answer to another request or attempt does not count") {
  for (const CallCase& row : kCalls) {
    INFO(row.what);
    AnsweringServer it(row);
    // Each attempt has a connection of its own.
    for (size_t i = 1; i <= 2; ++i) {
      CHECK(AskEngine(&it) == row.engine_code);
      CHECK(it.server.accepted() == i);
    }
  }
}

TEST_CASE("a service's answer to another request or attempt does not count") {
  for (const CallCase& row : kCalls) {
    INFO(row.what);
    AnsweringServer it(row);
    for (size_t i = 1; i <= 2; ++i) {
      CHECK(CallService(&it) == row.service_code);
      CHECK(it.server.accepted() == i);
    }
  }
}

TEST_CASE("a malformed head is no answer of an engine or a service") {
  for (const char* framing : {"Content-Length: 2", "Connection: close"}) {
    for (const auto& head : support::MalformedHeads(
             std::string(kThis) + "X-Result-Code: 0", framing)) {
      INFO(head.what << ", " << framing);
      AnsweringServer it(kCalls[0]);
      it.server.SetAnswer(head.text + "{}", false);
      const core::TimePoint start = it.loop.Now();
      for (const auto code : {AskEngine(&it), CallService(&it)}) {
        REQUIRE(code);
        CHECK(*code != ResultCode::kOk);
        CHECK(*code != ResultCode::kOverloaded);
      }
      // Both know at once that no answer comes.
      CHECK(it.loop.Now() - start < kTimeout / 2);
    }
  }
}

}  // namespace
}  // namespace wasabi::router
