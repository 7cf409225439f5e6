#include "LibMembership/gossip_node.h"

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::membership {
namespace {

constexpr uint8_t kKind = 100;

class NodeFixture {
 protected:
  std::unique_ptr<GossipNode> MakeNode(int number) {
    GossipOptions options;
    options.self.id = core::HostId(fmt::format("entry-{}", number));
    options.self.gossip_address =
        core::SocketAddress::Parse(fmt::format("127.0.3.{}:0", number)).value();
    return GossipNode::Create(&loop_, options, static_cast<uint64_t>(number),
                              &ring_)
        .value();
  }

  void RunUntil(const std::function<bool()>& condition) {
    const core::TimePoint end = loop_.Now() + core::seconds(20);
    const auto timer = loop_.NewTimer([&] {
      if (condition() || loop_.Now() > end) {
        loop_.Stop();
      }
    });
    timer->StartRepeating(core::milliseconds(5));
    loop_.Run();
    REQUIRE(condition());
  }

  void Join(GossipNode& a, GossipNode& b) {
    a.SetSeeds({b.self().gossip_address});
    b.SetSeeds({a.self().gossip_address});
    RunUntil([&] {
      return a.table()->members().size() == 2 &&
             b.table()->members().size() == 2;
    });
  }

  core::EventLoop loop_;
  core::EventRing ring_{"test", 100};
};

TEST_CASE_METHOD(NodeFixture, "two nodes join over sockets") {
  const auto a = MakeNode(1);
  const auto b = MakeNode(2);
  int changes = 0;
  a->OnChange([&](const MemberTableSnapshot&) { ++changes; });
  Join(*a, *b);
  CHECK(changes > 0);
  b->SetAppliedOffset(17);
  b->AnnounceLeaving();
  RunUntil([&] {
    const Member* member = a->table()->Find(b->self().id);
    return member->state == MemberState::kLeaving &&
           member->applied_offset == 17;
  });
  CHECK(a->bytes_sent() > 0);
  CHECK(a->bytes_received() > 0);
}

TEST_CASE_METHOD(NodeFixture, "application datagrams reach their handler") {
  const auto a = MakeNode(1);
  const auto b = MakeNode(2);
  Join(*a, *b);
  std::string heard;
  b->SetApplicationHandler(kKind,
                           [&](const Member& from, std::string_view body) {
                             heard = from.id.value() + ":" + std::string(body);
                             return absl::OkStatus();
                           });
  CHECK(a->SendApplication(b->self().id, kKind, "hello").ok());
  RunUntil([&] { return heard == "entry-1:hello"; });
  const std::string too_large(kMaxApplicationBytes + 1, 'x');
  CHECK(core::CodeOf(a->SendApplication(b->self().id, kKind, too_large)) ==
        core::ResultCode::kMalformedMessage);
  CHECK(core::CodeOf(a->SendApplication(core::HostId("x"), kKind, "")) ==
        core::ResultCode::kPeerUnreachable);
}

TEST_CASE_METHOD(NodeFixture,
                 "datagrams from unknown senders are counted and dropped") {
  const auto a = MakeNode(1);
  bool heard = false;
  a->SetApplicationHandler(kKind, [&](const Member&, std::string_view) {
    heard = true;
    return absl::OkStatus();
  });
  const int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
  const sockaddr_in native = a->self().gossip_address.ToNative();
  const auto send = [&](const std::string& bytes) {
    sendto(descriptor, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&native), sizeof(native));
  };
  send(WrapDatagram(kKind, "x"));
  send(ToDatagram(DatagramKind::kProbe, ProbeMessage{}));
  send(std::string(kMaxDatagramBytes + 100, '\x01'));
  RunUntil([&] { return a->datagrams_dropped() == 3; });
  close(descriptor);
  CHECK_FALSE(heard);
  CHECK(ring_.Since(0).back().code == core::EventCode::kDatagramDropped);
}

}  // namespace
}  // namespace wasabi::membership
