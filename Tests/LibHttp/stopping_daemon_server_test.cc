// Guards against requests that end without an answer because a Server stops
// listening and its process ends once nothing is in flight.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "LibHttp/server.h"
#include "Tests/LibHttp/blocking_client.h"
#include "Tests/LibHttp/server_fixture.h"

namespace wasabi::http {
namespace {

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

// A server that answers each request at once, and a client's connection.
struct StoppingServer {
  StoppingServer() {
    ServerOptions options;
    options.address = support::FreeAddress(support::LoopbackIp(2));
    server = *Server::Create(&loop, options,
                             [](const std::shared_ptr<Exchange>& it) {
                               it->Respond(200, {}, it->request().path);
                             });
    client = std::make_unique<BlockingClient>(options.address);
  }

  // From now on records what the server sends.
  void Receive() {
    stream = client->ToStream(&loop);
    TcpStream::Callbacks callbacks;
    callbacks.on_data = [this](std::string_view bytes) {
      received.append(bytes);
    };
    callbacks.on_end = [this](TcpStream::End /*end*/) { has_ended = true; };
    stream->Start(std::move(callbacks));
  }
  void Wait(core::Duration time) {
    const core::TimePoint end = loop.Now() + time;
    RunUntil(&loop, [&]() { return loop.Now() >= end; });
  }
  bool Receives(std::string_view text) {
    RunUntil(&loop, [&]() {
      return has_ended || received.find(text) != std::string::npos;
    });
    return received.find(text) != std::string::npos;
  }
  // Ends the server as its process does: once nothing is in flight.
  void EndWhenDrained() {
    CHECK(RunUntil(&loop, [&]() { return server->open_exchanges() == 0; }));
    server.reset();
  }

  core::EventLoop loop;
  std::unique_ptr<Server> server;
  std::unique_ptr<BlockingClient> client;
  std::shared_ptr<TcpStream> stream;
  std::string received;
  bool has_ended = false;
};

enum class Sent : uint8_t {
  kOnUnacceptedConnection,
  kSoonOnUnacceptedConnection,
  kSoonOnNewConnection,
  kOnIdleConnection,
  kInTwoParts,
};

struct StopCase {
  const char* what;
  Sent sent;
};

TEST_CASE("a request that was sent before a daemon's server stopped") {
  const StopCase cases[] = {
      {"its connection has not been accepted", Sent::kOnUnacceptedConnection},
      {"neither, and it follows", Sent::kSoonOnUnacceptedConnection},
      {"its connection is new and it follows", Sent::kSoonOnNewConnection},
      {"it has not been read from an idle connection", Sent::kOnIdleConnection},
      {"a part of it has arrived", Sent::kInTwoParts},
  };
  constexpr core::Duration kSoon = core::milliseconds(100);
  for (const StopCase& row : cases) {
    INFO(row.what);
    StoppingServer it;
    std::string_view rest;
    switch (row.sent) {
      case Sent::kOnUnacceptedConnection:
        it.client->Write(kGet);
        break;
      case Sent::kSoonOnUnacceptedConnection:
        rest = kGet;
        break;
      case Sent::kSoonOnNewConnection:
        it.Wait(kSoon);
        rest = kGet;
        break;
      case Sent::kOnIdleConnection:
        it.client->Write("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
        it.Receive();
        REQUIRE(it.Receives("/first"));
        it.client->Write(kGet);
        break;
      case Sent::kInTwoParts:
        it.client->Write(kGet.substr(0, kGet.size() / 2));
        it.Wait(kSoon);
        rest = kGet.substr(kGet.size() / 2);
        break;
    }
    it.server->StopListening();
    if (it.stream == nullptr) {
      it.Receive();
    }
    const auto timer = it.loop.NewTimer([&]() { it.stream->Write(rest); });
    timer->StartOnce(rest.empty() ? core::Duration::zero() : kSoon);
    it.EndWhenDrained();
    CHECK(it.Receives("/x"));
  }
}

TEST_CASE("a stopped server is drained though connections stay idle") {
  StoppingServer it;
  it.client->Write(kGet);
  it.Receive();
  REQUIRE(it.Receives("/x"));
  it.server->StopListening();
  it.EndWhenDrained();
  CHECK(RunUntil(&it.loop, [&]() { return it.has_ended; }));
}

}  // namespace
}  // namespace wasabi::http
