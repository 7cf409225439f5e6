#include "LibMembership/gossip_node.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::membership {

namespace {

// Limits the datagrams read in one loop iteration so that other event handlers
// are not starved.
constexpr int kMaxReadsPerTurn = 64;
constexpr core::Duration kDropEventPeriod = core::seconds(1);

uint64_t GenerationFromWallClock() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count());
}

core::EventCode EventCodeOf(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return core::EventCode::kMemberAlive;
    case MemberState::kSuspect:
      return core::EventCode::kMemberSuspect;
    case MemberState::kLeaving:
      return core::EventCode::kMemberLeaving;
    case MemberState::kGone:
      break;
  }
  return core::EventCode::kMemberGone;
}

}  // namespace

absl::StatusOr<std::unique_ptr<GossipNode>> GossipNode::Create(
    core::EventLoop* loop,
    GossipOptions options,
    uint64_t random_seed,
    core::EventRing* event_ring) {
  std::unique_ptr<GossipNode> node(new GossipNode(loop, event_ring));
  TRY(node->Listen(&options.self.gossip_address));
  if (options.self.incarnation == 0) {
    options.self.incarnation = FirstIncarnation(GenerationFromWallClock());
  }
  node->Start(std::move(options), random_seed);
  return node;
}

GossipNode::GossipNode(core::EventLoop* loop, core::EventRing* event_ring)
    : loop_(loop), event_ring_(event_ring) {}

GossipNode::~GossipNode() {
  watcher_.reset();
  if (descriptor_ >= 0) {
    close(descriptor_);
  }
}

absl::Status GossipNode::Listen(core::SocketAddress* address) {
  descriptor_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in native = address->ToNative();
  auto* generic = reinterpret_cast<sockaddr*>(&native);
  socklen_t length = sizeof(native);
  if (descriptor_ < 0 || bind(descriptor_, generic, length) != 0 ||
      getsockname(descriptor_, generic, &length) != 0) {
    return core::MakeStatus(
        core::ResultCode::kCannotListen,
        fmt::format("cannot bind gossip address {}: {}", address->ToString(),
                    std::strerror(errno)));
  }
  *address = core::SocketAddress::FromNative(native);
  return absl::OkStatus();
}

void GossipNode::Start(GossipOptions options, uint64_t random_seed) {
  protocol_ = std::make_unique<GossipProtocol>(
      std::move(options), random_seed,
      [this](const core::SocketAddress& to, std::string_view datagram) {
        Send(to, datagram);
      },
      loop_->Now());
  watcher_ = loop_->Watch(descriptor_, [this](bool, bool) { ReadAvailable(); });
  ticker_ = loop_->NewTimer([this] {
    protocol_->Tick(loop_->Now());
    Publish();
  });
  ticker_->StartRepeating(kGossipTick);
}

void GossipNode::OnChange(Observer observer) {
  observers_.push_back(std::move(observer));
}

void GossipNode::SetSeeds(const std::vector<core::SocketAddress>& seeds) {
  protocol_->SetSeeds(seeds);
}

void GossipNode::AnnounceLeaving() {
  protocol_->AnnounceLeaving(loop_->Now());
  Publish();
}

void GossipNode::SetAppliedOffset(int64_t offset) {
  protocol_->SetAppliedOffset(offset, loop_->Now());
  Publish();
}

absl::Status GossipNode::SendApplication(const core::HostId& to,
                                         uint8_t kind,
                                         std::string_view body) {
  const MemberTableSnapshot view = table();
  const Member* member = view->Find(to);
  if (member == nullptr) {
    return core::MakeStatus(core::ResultCode::kPeerUnreachable,
                            fmt::format("{} is not a member", to.value()));
  }
  if (body.size() > kMaxApplicationBytes ||
      kind < static_cast<uint8_t>(DatagramKind::kFirstApplication)) {
    return core::MakeStatus(
        core::ResultCode::kMalformedMessage,
        fmt::format("invalid application datagram: kind {}, {} bytes", kind,
                    body.size()));
  }
  Send(member->gossip_address, WrapDatagram(kind, body));
  return absl::OkStatus();
}

void GossipNode::SetApplicationHandler(uint8_t kind,
                                       ApplicationHandler handler) {
  handlers_[kind] = std::move(handler);
}

void GossipNode::Send(const core::SocketAddress& to,
                      std::string_view datagram) {
  const sockaddr_in native = to.ToNative();
  // Send errors are ignored. The protocol tolerates lost datagrams.
  const ssize_t n =
      sendto(descriptor_, datagram.data(), datagram.size(), 0,
             reinterpret_cast<const sockaddr*>(&native), sizeof(native));
  if (n >= 0) {
    bytes_sent_ += datagram.size() + kDatagramHeaderBytes;
  }
}

void GossipNode::ReadAvailable() {
  // The extra byte reveals datagrams that exceed the limit.
  std::array<char, kMaxDatagramBytes + 1> buf{};
  for (int i = 0; i < kMaxReadsPerTurn; ++i) {
    sockaddr_in native{};
    socklen_t length = sizeof(native);
    const ssize_t n = recvfrom(descriptor_, buf.data(), buf.size(), 0,
                               reinterpret_cast<sockaddr*>(&native), &length);
    if (n < 0) {
      break;
    }
    bytes_received_ += static_cast<size_t>(n) + kDatagramHeaderBytes;
    Dispatch(core::SocketAddress::FromNative(native),
             {buf.data(), static_cast<size_t>(n)});
  }
  Publish();
}

void GossipNode::Dispatch(const core::SocketAddress& from,
                          std::string_view datagram) {
  const auto view = ParseDatagram(datagram);
  const bool is_application =
      view.ok() &&
      view->kind >= static_cast<uint8_t>(DatagramKind::kFirstApplication);
  const absl::Status status =
      is_application ? DispatchApplication(from, *view)
                     : protocol_->OnDatagram(from, datagram, loop_->Now());
  if (!status.ok()) {
    RecordDrop(from, status);
  }
}

absl::Status GossipNode::DispatchApplication(const core::SocketAddress& from,
                                             const DatagramView& view) {
  const Member* known = protocol_->FindByAddress(from);
  if (known == nullptr || known->state == MemberState::kGone) {
    return core::MakeStatus(core::ResultCode::kUnknownSender, from.ToString());
  }
  const auto it = handlers_.find(view.kind);
  if (it == handlers_.end() || it->second == nullptr) {
    return core::MakeStatus(
        core::ResultCode::kMalformedMessage,
        fmt::format("no handler for datagram kind {}", view.kind));
  }
  // The handler may change the table, which would invalidate `known`.
  const Member sender = *known;
  return it->second(sender, view.body);
}

void GossipNode::RecordDrop(const core::SocketAddress& from,
                            const absl::Status& status) {
  ++datagrams_dropped_;
  const core::TimePoint now = loop_->Now();
  if (event_ring_ == nullptr || now < next_drop_event_at_) {
    return;
  }
  next_drop_event_at_ = now + kDropEventPeriod;
  event_ring_->Record(
      core::EventCode::kDatagramDropped, "",
      fmt::format("from={} code={} dropped={}", from.ToString(),
                  static_cast<int>(core::CodeOf(status)), datagrams_dropped_));
}

void GossipNode::Publish() {
  for (const MemberChange& it : protocol_->TakeChanges()) {
    if (event_ring_ != nullptr) {
      event_ring_->Record(EventCodeOf(it.after), "",
                          fmt::format("member={}", it.id.value()));
    }
  }
  if (published_version_ == protocol_->version()) {
    return;
  }
  published_version_ = protocol_->version();
  const MemberTableSnapshot view = table();
  for (const Observer& observer : observers_) {
    observer(view);
  }
}

}  // namespace wasabi::membership
