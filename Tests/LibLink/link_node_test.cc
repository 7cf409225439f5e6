#include "LibLink/link_node.h"

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/result_code.h"

namespace wasabi::link {
namespace {

using core::ResultCode;

constexpr core::Duration kTestTimeout = core::seconds(20);

// What the callbacks of a call received, and its handle.
struct Answer {
  std::vector<std::string> messages;
  std::optional<ResultCode> code;
  std::shared_ptr<OutboundCall> call;
};

using Handler = std::function<void(std::shared_ptr<InboundCall>)>;

// An event loop, with helpers that create nodes, start calls and wait for
// conditions.
class LoopFixture {
 protected:
  std::unique_ptr<LinkNode> MakeNode(
      const std::string& ip,
      Handler handler,
      const std::function<void(LinkOptions&)>& adjust = [](LinkOptions&) {},
      LinkNode::PeerCheck peer_check = [](uint32_t) { return true; }) {
    LinkOptions options;
    options.listen_address = core::SocketAddress::Parse(ip + ":0").value();
    options.local_name = ip;
    options.ping_interval = core::milliseconds(50);
    options.silence_limit = core::milliseconds(200);
    adjust(options);
    return LinkNode::Create(&loop_, options, std::move(peer_check),
                            std::move(handler))
        .value();
  }

  std::shared_ptr<Answer> Start(LinkNode& node,
                                const core::SocketAddress& peer,
                                std::string request) {
    auto answer = std::make_shared<Answer>();
    answer->call = node.Call(peer, CallKind::kSubmitWork, std::move(request),
                             {[answer](std::string_view message) {
                                answer->messages.emplace_back(message);
                              },
                              [answer](const absl::Status& status) {
                                REQUIRE_FALSE(answer->code.has_value());
                                answer->code = core::CodeOf(status);
                              }});
    CHECK_FALSE(answer->code.has_value());
    return answer;
  }

  void RunUntil(const std::function<bool()>& condition) {
    const core::TimePoint end = loop_.Now() + kTestTimeout;
    const auto timer = loop_.NewTimer([&] {
      if (condition() || loop_.Now() > end) {
        loop_.Stop();
      }
    });
    timer->StartRepeating(core::milliseconds(1));
    loop_.Run();
    REQUIRE(condition());
  }

  ResultCode Wait(const Answer& answer) {
    RunUntil([&] { return answer.code.has_value(); });
    return *answer.code;
  }

  core::EventLoop loop_;
};

void Echo(const std::shared_ptr<InboundCall>& call) {
  call->Send(call->request());
  call->Finish(absl::OkStatus());
}

TEST_CASE_METHOD(
    LoopFixture,
    "a call transfers its request and response for several body sizes") {
  const size_t bytes = GENERATE(0, 1, 16383, 16384, 70000, 3 << 20);
  core::SocketAddress seen;
  const auto server = MakeNode("127.0.2.1", [&](const auto& call) {
    seen = call->peer();
    Echo(call);
  });
  const auto client = MakeNode("127.0.2.2", Echo);
  const std::string request(bytes, 'x');
  const auto answer = Start(*client, server->address(), request);
  CHECK(Wait(*answer) == ResultCode::kOk);
  REQUIRE(answer->messages.size() == 1);
  CHECK(answer->messages.front() == request);
  CHECK(seen.ip() == client->address().ip());
}

TEST_CASE_METHOD(LoopFixture,
                 "the result code of a status reaches the caller") {
  const auto server = MakeNode("127.0.2.1", [&](const auto& call) {
    call->Finish(core::MakeRefusal(ResultCode::kOverloaded, "full\n",
                                   core::milliseconds(70)));
  });
  const auto client = MakeNode("127.0.2.2", Echo);
  CHECK(Wait(*Start(*client, server->address(), "x")) ==
        ResultCode::kOverloaded);
}

TEST_CASE_METHOD(LoopFixture, "many streams share one connection") {
  constexpr int kStreams = 1000;
  constexpr size_t kMessages = 50;
  std::vector<std::shared_ptr<InboundCall>> calls;
  std::vector<core::SocketAddress> peers;
  const auto server = MakeNode("127.0.2.1", [&](auto call) {
    peers.push_back(call->peer());
    calls.push_back(std::move(call));
  });
  const auto client = MakeNode("127.0.2.2", Echo);
  std::vector<std::shared_ptr<Answer>> answers;
  for (int i = 0; i < kStreams; ++i) {
    answers.push_back(Start(*client, server->address(), std::to_string(i)));
  }
  RunUntil([&] { return calls.size() == kStreams; });
  for (size_t i = 0; i < kMessages; ++i) {
    for (const auto& call : calls) {
      call->Send(call->request() + ":" + std::to_string(i));
    }
  }
  for (const auto& call : calls) {
    call->Finish(absl::OkStatus());
  }
  for (int i = 0; i < kStreams; ++i) {
    REQUIRE(Wait(*answers[i]) == ResultCode::kOk);
    REQUIRE(answers[i]->messages.size() == kMessages);
    CHECK(answers[i]->messages.back() ==
          std::to_string(i) + ":" + std::to_string(kMessages - 1));
  }
  for (const core::SocketAddress& peer : peers) {
    REQUIRE(peer == peers.front());
  }
  RunUntil([&] { return server->IsDrained(); });
}

TEST_CASE_METHOD(
    LoopFixture,
    "a cancelled call notifies its handler and leaves other calls alone") {
  bool cancelled = false;
  std::shared_ptr<InboundCall> inbound;
  const auto server = MakeNode("127.0.2.1", [&](const auto& call) {
    if (call->request() == "echo") {
      Echo(call);
      return;
    }
    inbound = call;
    call->OnCancelled([&] { cancelled = true; });
    call->Send("first");
  });
  const auto client = MakeNode("127.0.2.2", Echo);
  const auto answer = Start(*client, server->address(), "x");
  RunUntil([&] { return !answer->messages.empty(); });
  answer->call->Cancel();
  RunUntil([&] { return cancelled; });
  inbound->Send("late");
  inbound->Finish(absl::OkStatus());
  CHECK(Wait(*Start(*client, server->address(), "echo")) == ResultCode::kOk);
  CHECK(answer->messages.size() == 1);
  CHECK_FALSE(answer->code.has_value());
}

TEST_CASE_METHOD(LoopFixture, "a call from an unknown peer is refused") {
  bool called = false;
  const auto server = MakeNode(
      "127.0.2.1", [&](const auto&) { called = true; }, [](LinkOptions&) {},
      [](uint32_t) { return false; });
  const auto client = MakeNode("127.0.2.2", Echo);
  const auto answer =
      Start(*client, server->address(), std::string(1 << 20, 'x'));
  CHECK(Wait(*answer) == ResultCode::kUnknownSender);
  CHECK_FALSE(called);
}

TEST_CASE_METHOD(LoopFixture,
                 "calls with another protocol version are rejected") {
  bool called = false;
  const auto server =
      MakeNode("127.0.2.1", [&](const auto&) { called = true; });
  const auto client = MakeNode("127.0.2.2", Echo, [](LinkOptions& options) {
    options.protocol_version = kLinkProtocolVersion + 1;
  });
  CHECK(Wait(*Start(*client, server->address(), "x")) ==
        ResultCode::kVersionMismatch);
  CHECK_FALSE(called);
}

TEST_CASE_METHOD(LoopFixture, "messages above the size limit are rejected") {
  const bool server_limits = GENERATE(true, false);
  const auto limit = [](LinkOptions& options) {
    options.max_message_bytes = 1000;
  };
  const auto ignore = [](LinkOptions&) {};
  int handled = 0;
  const auto echo = [&](const auto& call) {
    ++handled;
    Echo(call);
  };
  const auto server =
      MakeNode("127.0.2.1", echo, server_limits ? limit : ignore);
  const auto client =
      MakeNode("127.0.2.2", Echo, server_limits ? ignore : limit);
  CHECK(Wait(*Start(*client, server->address(), std::string(1001, 'x'))) ==
        ResultCode::kMalformedMessage);
  // A request above the limit doesn't reach the handler.
  CHECK(handled == (server_limits ? 0 : 1));
  CHECK(Wait(*Start(*client, server->address(), std::string(1000, 'x'))) ==
        ResultCode::kOk);
}

TEST_CASE_METHOD(
    LoopFixture,
    "a call to an address without a listener fails as unreachable") {
  auto server = MakeNode("127.0.2.1", Echo);
  const core::SocketAddress address = server->address();
  server.reset();
  const auto client = MakeNode("127.0.2.2", Echo);
  CHECK(Wait(*Start(*client, address, "x")) == ResultCode::kPeerUnreachable);
}

TEST_CASE_METHOD(LoopFixture,
                 "a lost peer ends delivered calls as kPeerSilent") {
  std::shared_ptr<InboundCall> inbound;
  auto server =
      MakeNode("127.0.2.1", [&](const auto& call) { inbound = call; });
  const auto client = MakeNode("127.0.2.2", Echo);
  const auto answer = Start(*client, server->address(), "x");
  RunUntil([&] { return inbound != nullptr; });
  server.reset();
  CHECK(Wait(*answer) == ResultCode::kPeerSilent);
}

TEST_CASE_METHOD(LoopFixture, "a lost caller connection cancels its calls") {
  bool cancelled = false;
  std::shared_ptr<InboundCall> inbound;
  const auto server = MakeNode("127.0.2.1", [&](const auto& call) {
    inbound = call;
    call->OnCancelled([&] { cancelled = true; });
  });
  auto client = MakeNode("127.0.2.2", Echo);
  const auto answer = Start(*client, server->address(), "x");
  RunUntil([&] { return inbound != nullptr; });
  client.reset();
  RunUntil([&] { return cancelled; });
}

// A peer that lets connections be established but never reads or writes.
class SilentPeer {
 public:
  SilentPeer() : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in native =
        core::SocketAddress::Parse("127.0.2.3:0").value().ToNative();
    auto* generic = reinterpret_cast<sockaddr*>(&native);
    socklen_t length = sizeof(native);
    REQUIRE(bind(descriptor_, generic, length) == 0);
    REQUIRE(listen(descriptor_, 16) == 0);
    REQUIRE(getsockname(descriptor_, generic, &length) == 0);
    address_ = core::SocketAddress::FromNative(native);
  }
  ~SilentPeer() { close(descriptor_); }
  SilentPeer(const SilentPeer&) = delete;
  SilentPeer& operator=(const SilentPeer&) = delete;

  const core::SocketAddress& address() const { return address_; }
  // Accepts and closes all pending connections and returns their number.
  int CountConnections() {
    int count = 0;
    while (true) {
      const int it = accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK);
      if (it < 0) {
        return count;
      }
      close(it);
      ++count;
    }
  }
  void SetAcceptTimeout() {
    const timeval timeout{0, 1000};
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  }

 private:
  int descriptor_;
  core::SocketAddress address_;
};

TEST_CASE_METHOD(LoopFixture,
                 "calls to a silent peer fail and the next call reconnects") {
  SilentPeer peer;
  peer.SetAcceptTimeout();
  const auto client = MakeNode("127.0.2.2", Echo);
  const auto small = Start(*client, peer.address(), "x");
  const auto never_sent =
      Start(*client, peer.address(), std::string(4 << 20, 'x'));
  CHECK(Wait(*small) == ResultCode::kPeerSilent);
  CHECK(Wait(*never_sent) == ResultCode::kPeerUnreachable);
  CHECK(Wait(*Start(*client, peer.address(), "y")) == ResultCode::kPeerSilent);
  CHECK(peer.CountConnections() == 2);
}

TEST_CASE_METHOD(LoopFixture,
                 "a call without traffic survives while PINGs are answered") {
  std::shared_ptr<InboundCall> inbound;
  const auto server =
      MakeNode("127.0.2.1", [&](const auto& call) { inbound = call; });
  const auto client = MakeNode("127.0.2.2", Echo);
  const auto answer = Start(*client, server->address(), "x");
  // Waits five times the silence limit, so that only PINGs keep the connection
  // open.
  const core::TimePoint end = loop_.Now() + core::seconds(1);
  RunUntil([&] { return loop_.Now() > end; });
  REQUIRE(inbound != nullptr);
  REQUIRE_FALSE(answer->code.has_value());
  Echo(inbound);
  CHECK(Wait(*answer) == ResultCode::kOk);
}

TEST_CASE_METHOD(LoopFixture, "a draining node finishes its calls in flight") {
  std::shared_ptr<InboundCall> inbound;
  const auto server =
      MakeNode("127.0.2.1", [&](const auto& call) { inbound = call; });
  const auto client = MakeNode("127.0.2.2", Echo);
  const auto first = Start(*client, server->address(), "x");
  RunUntil([&] { return inbound != nullptr; });
  server->StopAccepting();
  CHECK(Wait(*Start(*client, server->address(), "y")) ==
        ResultCode::kPeerUnreachable);
  CHECK_FALSE(server->IsDrained());
  // New calls reach another node at the same address over a new connection.
  const auto successor = MakeNode("127.0.2.1", Echo, [&](LinkOptions& options) {
    options.listen_address = server->address();
  });
  CHECK(Wait(*Start(*client, server->address(), "z")) == ResultCode::kOk);
  CHECK_FALSE(first->code.has_value());
  Echo(inbound);
  CHECK(Wait(*first) == ResultCode::kOk);
  RunUntil([&] { return server->IsDrained(); });
}

TEST_CASE_METHOD(LoopFixture, "a restarted peer becomes reachable again") {
  auto server = MakeNode("127.0.2.1", Echo);
  const core::SocketAddress address = server->address();
  const auto client = MakeNode("127.0.2.2", Echo);
  CHECK(Wait(*Start(*client, address, "x")) == ResultCode::kOk);
  server->StopAccepting();
  server.reset();
  server = MakeNode("127.0.2.1", Echo, [&](LinkOptions& options) {
    options.listen_address = address;
  });
  // The previous connection may be lost before or after the request is sent on
  // it.
  const ResultCode code = Wait(*Start(*client, address, "y"));
  CHECK((code == ResultCode::kPeerSilent ||
         code == ResultCode::kPeerUnreachable));
  CHECK(Wait(*Start(*client, address, "z")) == ResultCode::kOk);
}

TEST_CASE_METHOD(LoopFixture,
                 "calls carry Lamport timestamps in both directions") {
  core::EventRing client_ring("client", 16);
  core::EventRing server_ring("server", 16);
  for (int i = 0; i < 1000; ++i) {
    client_ring.StampOutgoing();
  }
  uint64_t seen_by_server = 0;
  const auto server = MakeNode(
      "127.0.2.1",
      [&](const auto& call) {
        seen_by_server = server_ring.StampOutgoing();
        server_ring.ObserveIncoming(5000);
        Echo(call);
      },
      [&](LinkOptions& options) { options.event_ring = &server_ring; });
  const auto client = MakeNode("127.0.2.2", Echo, [&](LinkOptions& options) {
    options.event_ring = &client_ring;
  });
  CHECK(Wait(*Start(*client, server->address(), "x")) == ResultCode::kOk);
  CHECK(seen_by_server > 1000);
  CHECK(client_ring.StampOutgoing() > 5000);
}

}  // namespace
}  // namespace wasabi::link
