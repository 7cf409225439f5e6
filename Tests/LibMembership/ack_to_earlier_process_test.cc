// Guards against an ack to a probe of a host's previous process that is taken
// for the ack to a probe of the present one.

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "LibMembership/gossip_protocol.h"

namespace wasabi::membership {
namespace {

using core::seconds;

constexpr core::TimePoint kStart{seconds(100)};

Member NewMember(const char* id, const char* address) {
  Member member;
  member.id = core::HostId(id);
  member.gossip_address = *core::SocketAddress::Parse(address);
  member.incarnation = 1U << 20U;
  return member;
}

// A process that knows one other member, which does not answer.
class Process {
 public:
  explicit Process(uint64_t random_seed)
      : protocol_(
            {.self = NewMember("h0", "127.0.0.1:1000")},
            random_seed,
            [this](const core::SocketAddress& /*to*/,
                   std::string_view datagram) { OnSent(datagram); },
            kStart) {
    protocol_.SetSeeds({peer_.gossip_address});
    Receive(ToDatagram(DatagramKind::kRecords, RecordsMessage{{peer_}}));
    while (!probe_ && now_ < kStart + seconds(10)) {
      Tick();
    }
  }

  uint32_t probe() const { return probe_.value_or(0); }
  void Ack(uint32_t sequence) {
    Receive(ToDatagram(DatagramKind::kAck, AckMessage{sequence, {}}));
  }
  // Returns whether the peer is suspected when the first probe has failed.
  bool IsPeerSuspected() {
    for (const core::TimePoint end = now_ + seconds(1); now_ < end;) {
      Tick();
    }
    for (const Member& it : protocol_.table()->members()) {
      if (it.id == peer_.id) {
        return it.state == MemberState::kSuspect;
      }
    }
    return false;
  }

 private:
  void Receive(const std::string& datagram) {
    CHECK(protocol_.OnDatagram(peer_.gossip_address, datagram, now_).ok());
  }
  void Tick() {
    now_ += kGossipTick;
    protocol_.Tick(now_);
  }
  void OnSent(std::string_view datagram) {
    const auto view = ParseDatagram(datagram);
    if (!probe_ && view->kind == static_cast<uint8_t>(DatagramKind::kProbe)) {
      probe_ = core::Decode<ProbeMessage>(view->body)->sequence;
    }
  }

  const Member peer_ = NewMember("h1", "127.0.0.2:1000");
  core::TimePoint now_ = kStart;
  std::optional<uint32_t> probe_;
  GossipProtocol protocol_;
};

TEST_CASE("an ack to a host's previous process does not count") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Process before(seed);
    Process restarted(seed + 1000);
    REQUIRE(before.probe() != 0);
    restarted.Ack(before.probe());
    CHECK(restarted.IsPeerSuspected());
    Process answered(seed + 2000);
    answered.Ack(answered.probe());
    CHECK_FALSE(answered.IsPeerSuspected());
  }
}

}  // namespace
}  // namespace wasabi::membership
