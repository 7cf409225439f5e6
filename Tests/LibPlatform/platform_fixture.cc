#include "Tests/LibPlatform/platform_fixture.h"

#include <catch2/catch.hpp>

namespace wasabi::platform {

PlatformFixture::PlatformFixture(const standin::PlatformOptions& options)
    : service_(&loop_, options), client_(&loop_) {
  constexpr int kFirstPort = 20500;
  constexpr int kLastPort = 20900;
  for (int port = kFirstPort; port < kLastPort && !server_; ++port) {
    http::ServerOptions server_options;
    server_options.address =
        *core::SocketAddress::Parse("127.4.0.2:" + std::to_string(port));
    auto server =
        http::Server::Create(&loop_, server_options,
                             [this](const std::shared_ptr<http::Exchange>& it) {
                               service_.Handle(it);
                             });
    if (server.ok()) {
      address_ = server_options.address;
      server_ = *std::move(server);
    }
  }
  REQUIRE(server_ != nullptr);
}

void PlatformFixture::Send(const std::string& method,
                           const std::string& target,
                           const std::string& body) {
  http::ClientRequest request;
  request.method = method;
  request.address = address_;
  request.target = target;
  request.body = body;
  const auto response = Await<http::ClientResponse>(
      [&](const auto& done) { client_.Fetch(request, done); });
  REQUIRE(response.ok());
  REQUIRE(response->status == 200);
}

}  // namespace wasabi::platform
