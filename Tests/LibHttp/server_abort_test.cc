#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibHttp/client.h"
#include "LibHttp/server.h"

namespace wasabi::http {
namespace {

using ExchangePtr = std::shared_ptr<Exchange>;

// Starts a server on a free port of a loopback address (127.0.0.0/8) and stores
// its address in `address`. Returns nullptr if no port is free.
std::unique_ptr<Server> StartServer(core::EventLoop* loop,
                                    core::SocketAddress* address,
                                    const Server::Handler& handler) {
  for (int port = 20100; port < 20400; ++port) {
    ServerOptions options;
    options.address =
        *core::SocketAddress::Parse("127.4.0.1:" + std::to_string(port));
    auto server = Server::Create(loop, options, handler);
    if (server.ok()) {
      *address = options.address;
      return *std::move(server);
    }
  }
  return nullptr;
}

// Runs `loop` until a request to `address` has ended, and returns its status.
absl::Status Fetch(core::EventLoop* loop, const core::SocketAddress& address) {
  absl::Status result;
  Client client(loop);
  ClientRequest request;
  request.address = address;
  request.total_timeout = core::seconds(10);
  client.Fetch(request, [&](const absl::StatusOr<ClientResponse>& response) {
    result = response.status();
    loop->Stop();
  });
  loop->Run();
  return result;
}

TEST_CASE("an exchange aborted by its handler closes the connection") {
  core::EventLoop loop;
  core::SocketAddress address;
  const auto server = StartServer(
      &loop, &address, [](const ExchangePtr& exchange) { exchange->Abort(); });
  REQUIRE(server != nullptr);
  const absl::Status status = Fetch(&loop, address);
  CHECK(core::CodeOf(status) == core::ResultCode::kAnswerTruncated);
}

TEST_CASE("a server can be destroyed while a request is pending") {
  core::EventLoop loop;
  core::SocketAddress address;
  std::unique_ptr<Server> server;
  const auto destroy_later = [&](const ExchangePtr&) {
    loop.Post([&server] { server.reset(); });
  };
  server = StartServer(&loop, &address, destroy_later);
  REQUIRE(server != nullptr);
  const absl::Status status = Fetch(&loop, address);
  CHECK(core::CodeOf(status) == core::ResultCode::kAnswerTruncated);
}

}  // namespace
}  // namespace wasabi::http
