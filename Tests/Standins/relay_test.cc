#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibHttp/client.h"
#include "LibHttp/server.h"
#include "Tests/Support/FaultProxy/tcp_relay.h"
#include "Tests/Support/FaultProxy/udp_relay.h"
#include "Tests/Support/free_address.h"

namespace wasabi::support {
namespace {

constexpr uint64_t kSeed = 7;
constexpr core::Duration kWaitTimeout = std::chrono::seconds(10);

// Runs the loop until `is_done` returns true. Fails the test after
// kWaitTimeout.
void RunUntil(core::EventLoop* loop, const std::function<bool()>& is_done) {
  const core::TimePoint end = loop->Now() + kWaitTimeout;
  const auto timer = loop->NewTimer([&] {
    if (is_done() || loop->Now() > end) {
      loop->Stop();
    }
  });
  timer->StartRepeating(core::milliseconds(1));
  loop->Run();
  REQUIRE(is_done());
}

// An HTTP server that streams "one" for each request, and on FinishAll()
// streams "two" and completes the responses.
struct Target {
  explicit Target(core::EventLoop* loop) : address(FreeAddress(LoopbackIp(0))) {
    http::ServerOptions options;
    options.address = address;
    auto created = http::Server::Create(
        loop, options, [this](const std::shared_ptr<http::Exchange>& it) {
          it->StartStream(200, {});
          it->Write("one");
          exchanges.push_back(it);
        });
    REQUIRE(created.ok());
    server = std::move(*created);
  }

  void FinishAll() {
    for (const auto& it : exchanges) {
      it->Write("two");
      it->Finish();
    }
  }

  core::SocketAddress address;
  std::vector<std::shared_ptr<http::Exchange>> exchanges;
  std::unique_ptr<http::Server> server;
};

// What one call through the relay has received.
struct Seen {
  std::string body;
  bool is_done = false;
  core::ResultCode code = core::ResultCode::kOk;
};

std::shared_ptr<Seen> Call(http::Client* client,
                           const core::SocketAddress& address) {
  auto seen = std::make_shared<Seen>();
  http::ClientRequest request;
  request.address = address;
  request.needs_fresh_connection = true;
  http::ClientCallbacks callbacks;
  callbacks.on_data = [seen](std::string_view bytes) { seen->body += bytes; };
  callbacks.on_done = [seen](const absl::Status& status) {
    seen->is_done = true;
    seen->code = core::CodeOf(status);
  };
  client->Send(request, std::move(callbacks));
  return seen;
}

struct TcpFixture {
  TcpFixture() : address(FreeAddress(LoopbackIp(1))) {
    auto created = TcpRelay::Create(&loop, address, target.address, &faults);
    REQUIRE(created.ok());
    relay = std::move(*created);
  }

  std::shared_ptr<Seen> CallUntilFirstBytes() {
    std::shared_ptr<Seen> seen = Call(&client, address);
    RunUntil(&loop, [&] { return seen->body == "one"; });
    return seen;
  }

  core::EventLoop loop;
  LinkFaults faults{kSeed};
  Target target{&loop};
  core::SocketAddress address;
  std::unique_ptr<TcpRelay> relay;
  http::Client client{&loop};
};

TEST_CASE("a TCP link without faults relays complete answers") {
  TcpFixture it;
  const auto seen = it.CallUntilFirstBytes();
  it.target.FinishAll();
  RunUntil(&it.loop, [&] { return seen->is_done; });
  CHECK(seen->code == core::ResultCode::kOk);
  CHECK(seen->body == "onetwo");
}

TEST_CASE("CutAll closes open connections and does not affect new ones") {
  TcpFixture it;
  const auto old_call = it.CallUntilFirstBytes();
  it.relay->ResetAll();
  RunUntil(&it.loop, [&] { return old_call->is_done; });
  CHECK(old_call->code == core::ResultCode::kAnswerTruncated);
  const auto new_call = it.CallUntilFirstBytes();
  it.target.FinishAll();
  RunUntil(&it.loop, [&] { return new_call->is_done; });
  CHECK(new_call->body == "onetwo");
}

TEST_CASE("half-open connections receive no data while new ones work") {
  TcpFixture it;
  const auto old_call = it.CallUntilFirstBytes();
  it.relay->StallAll();
  const auto new_call = it.CallUntilFirstBytes();
  it.target.FinishAll();
  RunUntil(&it.loop, [&] { return new_call->is_done; });
  CHECK(new_call->body == "onetwo");
  CHECK_FALSE(old_call->is_done);
  CHECK(old_call->body == "one");
}

TEST_CASE("data that a freeze holds back is delivered after it") {
  TcpFixture it;
  const auto seen = it.CallUntilFirstBytes();
  LinkFault freeze;
  freeze.kind = LinkFaultKind::kFreeze;
  it.faults.Inject(freeze, it.loop.Now());
  it.target.FinishAll();
  // A completed exchange that bypasses the relay shows that the loop has had
  // the opportunity to relay the data.
  const auto direct = Call(&it.client, it.target.address);
  RunUntil(&it.loop, [&] { return direct->body == "one"; });
  CHECK(seen->body == "one");
  it.faults.Inject(LinkFault{}, it.loop.Now());
  RunUntil(&it.loop, [&] { return seen->is_done; });
  CHECK(seen->body == "onetwo");
}

TEST_CASE("a delay postpones data without losing any") {
  TcpFixture it;
  LinkFault delay;
  delay.kind = LinkFaultKind::kDelay;
  delay.delay = core::milliseconds(30);
  it.faults.Inject(delay, it.loop.Now());
  const core::TimePoint start = it.loop.Now();
  const auto seen = it.CallUntilFirstBytes();
  CHECK(it.loop.Now() - start >= core::milliseconds(60));
  it.target.FinishAll();
  RunUntil(&it.loop, [&] { return seen->is_done; });
  CHECK(seen->body == "onetwo");
}

TEST_CASE("UDP links drop and duplicate datagrams and relay the responses") {
  struct Case {
    LinkFaultKind kind;
    size_t arrivals;
  };
  const auto row = GENERATE(values<Case>({{LinkFaultKind::kClear, 1},
                                          {LinkFaultKind::kDuplicate, 2},
                                          {LinkFaultKind::kDrop, 0},
                                          {LinkFaultKind::kFreeze, 0}}));
  core::EventLoop loop;
  LinkFaults faults(kSeed);
  const core::SocketAddress address = FreeAddress(LoopbackIp(0));
  const core::SocketAddress target = FreeAddress(LoopbackIp(1));
  const auto relay = UdpRelay::Create(&loop, address, target, &faults);
  REQUIRE(relay.ok());
  const int target_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  const int client_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  const sockaddr_in native_target = target.ToNative();
  const sockaddr_in native_relay = address.ToNative();
  REQUIRE(bind(target_socket, reinterpret_cast<const sockaddr*>(&native_target),
               sizeof(native_target)) == 0);
  // The target sends a response to every datagram.
  size_t arrivals = 0;
  size_t answers = 0;
  const auto target_watch = loop.Watch(target_socket, [&](bool, bool) {
    std::array<char, 16> buf{};
    sockaddr_in sender{};
    socklen_t length = sizeof(sender);
    recvfrom(target_socket, buf.data(), buf.size(), 0,
             reinterpret_cast<sockaddr*>(&sender), &length);
    ++arrivals;
    sendto(target_socket, "pong", 4, 0, reinterpret_cast<sockaddr*>(&sender),
           length);
  });
  const auto client_watch = loop.Watch(client_socket, [&](bool, bool) {
    std::array<char, 16> buf{};
    recv(client_socket, buf.data(), buf.size(), 0);
    ++answers;
  });
  const auto send = [&] {
    sendto(client_socket, "ping", 4, 0,
           reinterpret_cast<const sockaddr*>(&native_relay),
           sizeof(native_relay));
  };
  LinkFault fault;
  fault.kind = row.kind;
  fault.affects_to_client = false;
  faults.Inject(fault, loop.Now());
  send();
  // The response to a later datagram without a fault shows that the relay has
  // processed the first one.
  const auto timer = loop.NewTimer([&] {
    faults.Inject(LinkFault{}, loop.Now());
    send();
  });
  timer->StartOnce(core::milliseconds(20));
  RunUntil(&loop, [&] { return answers >= row.arrivals + 1; });
  CHECK(arrivals == row.arrivals + 1);
  close(target_socket);
  close(client_socket);
}

}  // namespace
}  // namespace wasabi::support
