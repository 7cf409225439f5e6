#include <catch2/catch.hpp>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibHttp/server.h"

namespace wasabi::http {
namespace {

TEST_CASE("listening on an address in use fails") {
  core::EventLoop loop;
  ServerOptions options;
  int taken = 0;
  std::unique_ptr<Server> server;
  constexpr int kFirstPort = 21300;
  constexpr int kLastPort = 21600;
  for (int port = kFirstPort; port < kLastPort && server == nullptr; ++port) {
    options.address =
        *core::SocketAddress::Parse("127.4.0.1:" + std::to_string(port));
    auto result =
        Server::Create(&loop, options, [](const std::shared_ptr<Exchange>&) {});
    if (result.ok()) {
      server = *std::move(result);
      taken = port;
    }
  }
  REQUIRE(taken != 0);
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
