// Tests what Client says of a request whose server dies with it.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibHttp/client.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"

namespace wasabi::http {
namespace {

constexpr core::Duration kTestTimeout = core::seconds(10);

struct DeathCase {
  const char* what;
  // A request was answered on the connection before.
  bool is_reused = false;
  // The server is gone before the request.
  bool is_early = false;
  core::ResultCode code;
};

core::ResultCode Fetch(core::EventLoop& loop,
                       Client& client,
                       const core::SocketAddress& address,
                       const std::string& target,
                       bool needs_fresh_connection = false) {
  ClientRequest request;
  request.needs_fresh_connection = needs_fresh_connection;
  request.method = "POST";
  request.address = address;
  request.target = target;
  request.body = "{}";
  request.total_timeout = kTestTimeout;
  std::optional<core::ResultCode> code;
  client.Fetch(request, [&](const absl::StatusOr<ClientResponse>& response) {
    code = core::CodeOf(response.status());
    loop.Stop();
  });
  loop.Run();
  REQUIRE(code.has_value());
  return *code;
}

// Guards against a request that the server received and that passes for one
// that was never sent: on a reused connection the client connects again.
TEST_CASE("a request that its server received does not pass for unsent") {
  const DeathCase cases[] = {
      {"a new connection", false, false, core::ResultCode::kAnswerTruncated},
      {"a reused connection", true, false, core::ResultCode::kAnswerTruncated},
      {"no server", false, true, core::ResultCode::kPeerUnreachable},
  };
  for (const DeathCase& row : cases) {
    INFO(row.what);
    core::EventLoop loop;
    support::RawServer server(&loop,
                              support::FreeAddress(support::LoopbackIp(3)));
    const auto kill = [&server] {
      server.StopListening();
      server.CloseAll();
    };
    server.SetResponder([&](const std::string& text) {
      if (text.starts_with("POST /fatal")) {
        loop.Post(kill);
        return std::string();
      }
      return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    Client client(&loop);
    if (row.is_reused) {
      CHECK(Fetch(loop, client, server.address(), "/first") ==
            core::ResultCode::kOk);
    }
    if (row.is_early) {
      kill();
    }
    CHECK(Fetch(loop, client, server.address(), "/fatal") == row.code);
    CHECK(server.accepted() == (row.is_early ? 0 : 1));
    CHECK(server.requests() == (row.is_reused ? 2 : row.is_early ? 0 : 1));
  }
}

// Guards against a call that must not be repeated and that the library sends
// again by itself, since the connection had carried one before.
TEST_CASE("a call that needs a fresh connection reaches its server once") {
  for (const bool closes_first : {false, true}) {
    INFO(closes_first);
    core::EventLoop loop;
    support::RawServer server(&loop,
                              support::FreeAddress(support::LoopbackIp(3)));
    int calls = 0;
    server.SetResponder([&](const std::string& text) {
      if (text.starts_with("POST /call")) {
        ++calls;
        loop.Post([&server]() { server.CloseAll(); });
        return std::string();
      }
      return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    Client client(&loop);
    CHECK(Fetch(loop, client, server.address(), "/first") ==
          core::ResultCode::kOk);
    if (closes_first) {
      server.CloseAll();
    }
    CHECK(Fetch(loop, client, server.address(), "/call", true) ==
          core::ResultCode::kAnswerTruncated);
    CHECK(calls == 1);
  }
}

}  // namespace
}  // namespace wasabi::http
