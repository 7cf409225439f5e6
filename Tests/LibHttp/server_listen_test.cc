#include <catch2/catch.hpp>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibHttp/client.h"
#include "LibHttp/server.h"

namespace wasabi::http {
namespace {

// Starts a server on a free port and stores its options in `options`. Returns
// nullptr if no port is free.
std::unique_ptr<Server> StartServer(core::EventLoop* loop,
                                    ServerOptions* options,
                                    const Server::Handler& handler) {
  constexpr int kFirstPort = 21300;
  constexpr int kLastPort = 21600;
  for (int port = kFirstPort; port < kLastPort; ++port) {
    options->address =
        *core::SocketAddress::Parse("127.4.0.1:" + std::to_string(port));
    auto server = Server::Create(loop, *options, handler);
    if (server.ok()) {
      return *std::move(server);
    }
  }
  return nullptr;
}

TEST_CASE("a server that stopped listening answers what is in flight") {
  core::EventLoop loop;
  ServerOptions options;
  std::unique_ptr<Server> server;
  server =
      StartServer(&loop, &options, [&](const std::shared_ptr<Exchange>& it) {
        server->StopListening();
        it->Respond(200, {}, "whole");
      });
  REQUIRE(server != nullptr);
  Client client(&loop);
  absl::StatusOr<ClientResponse> first;
  absl::StatusOr<ClientResponse> second;
  ClientRequest request;
  request.address = options.address;
  request.total_timeout = core::seconds(10);
  client.Fetch(request, [&](const absl::StatusOr<ClientResponse>& response) {
    first = response;
    client.Fetch(request, [&](const absl::StatusOr<ClientResponse>& later) {
      second = later;
      loop.Stop();
    });
  });
  loop.Run();
  REQUIRE(first.ok());
  CHECK(first->body == "whole");
  CHECK(first->headers.Get("Connection") == "close");
  CHECK(core::CodeOf(second.status()) == core::ResultCode::kPeerUnreachable);
  CHECK(server->open_exchanges() == 0);
}

TEST_CASE("listening on an address in use fails") {
  core::EventLoop loop;
  ServerOptions options;
  auto server =
      StartServer(&loop, &options, [](const std::shared_ptr<Exchange>&) {});
  REQUIRE(server != nullptr);
  const auto second =
      Server::Create(&loop, options, [](const std::shared_ptr<Exchange>&) {});
  CHECK(core::CodeOf(second.status()) == core::ResultCode::kCannotListen);
  // A restarted server can listen on its previous address immediately.
  server.reset();
  CHECK(Server::Create(&loop, options, [](const std::shared_ptr<Exchange>&) {
        }).ok());
}

}  // namespace
}  // namespace wasabi::http
