#include "Tests/Support/GossipNetwork/gossip_network.h"

#include <utility>

#include "LibCore/text.h"

namespace wasabi::membership {

namespace {

constexpr int kDataCentres = 3;
constexpr int kFirstPort = 7000;
constexpr core::Duration kLatency = core::microseconds(500);
constexpr core::Duration kMaxJitter = core::microseconds(1000);
// Size of a simulated socket's receive buffer, in datagrams.
constexpr size_t kMaxBufferedDatagrams = 500;

core::SocketAddress MakeAddress(int node, int port) {
  constexpr int kHostsPerNet = 250;
  return core::SocketAddress::Parse(fmt::format("10.0.{}.{}:{}",
                                                node / kHostsPerNet,
                                                1 + node % kHostsPerNet, port))
      .value();
}

}  // namespace

GossipNetwork::GossipNetwork(const Options& options)
    : options_(options),
      random_(options.seed),
      now_(core::seconds(1000)),
      nodes_(options.members) {
  for (int i = 0; i < size(); ++i) {
    nodes_[i].address = MakeAddress(i, kFirstPort);
    by_address_[nodes_[i].address] = i;
  }
  std::vector<core::SocketAddress> seeds;
  for (int i = 0; i < options.seeds; ++i) {
    seeds.push_back(AddressOf(i));
  }
  for (Node& node : nodes_) {
    node.seeds = seeds;
  }
  // The seed members get all members from the platform's host list.
  for (int i = 0; i < options.seeds; ++i) {
    for (int k = 0; k < size(); ++k) {
      nodes_[i].seeds.push_back(AddressOf(k));
    }
  }
}

core::HostId GossipNetwork::IdOf(int node) const {
  return core::HostId(fmt::format("entry-{}/router", node));
}

Member GossipNetwork::MakeMember(int node) const {
  Member member;
  member.id = IdOf(node);
  member.data_centre =
      core::DataCentreId(fmt::format("nairobi-{}", node % kDataCentres));
  member.gossip_address = nodes_[node].address;
  member.link_address = MakeAddress(node, kFirstPort + 1000);
  member.http_address = MakeAddress(node, kFirstPort + 2000);
  member.incarnation = FirstIncarnation(nodes_[node].generation);
  return member;
}

void GossipNetwork::StartAll() {
  for (int i = 0; i < size(); ++i) {
    const core::Duration delay = core::FromSeconds(random_.Unit());
    Schedule(delay, [this, i] { Start(i); });
  }
  RunFor(core::seconds(1));
}

void GossipNetwork::Start(int node) {
  Node& it = nodes_[node];
  ++it.generation;
  ++it.process_number;
  it.is_frozen = false;
  it.buffered_datagrams.clear();
  GossipOptions options;
  options.self = MakeMember(node);
  it.protocol = std::make_unique<GossipProtocol>(
      options, random_.Next(),
      [this, node](const core::SocketAddress& to, std::string_view bytes) {
        Send(node, to, bytes);
      },
      now_);
  it.protocol->SetSeeds(it.seeds);
  ScheduleTick(node, it.process_number, core::Duration(0));
}

void GossipNetwork::Kill(int node) {
  nodes_[node].protocol.reset();
  ++nodes_[node].process_number;
}

void GossipNetwork::Restart(int node) {
  Kill(node);
  Node& it = nodes_[node];
  by_address_.erase(it.address);
  it.address = MakeAddress(node, it.address.port() + 1);
  by_address_[it.address] = node;
  Start(node);
}

void GossipNetwork::Freeze(int node) {
  nodes_[node].is_frozen = true;
}

void GossipNetwork::Thaw(int node) {
  Node& it = nodes_[node];
  it.is_frozen = false;
  const std::vector<Datagram> buffered_datagrams =
      std::exchange(it.buffered_datagrams, {});
  for (const Datagram& datagram : buffered_datagrams) {
    Deliver(node, datagram);
  }
}

void GossipNetwork::SetSeeds(int node,
                             const std::vector<core::SocketAddress>& seeds) {
  nodes_[node].seeds = seeds;
  if (IsRunning(node)) {
    protocol(node).SetSeeds(seeds);
  }
}

void GossipNetwork::Schedule(core::Duration delay,
                             std::function<void()> action) {
  events_.push({now_ + delay, next_order_++, std::move(action)});
}

void GossipNetwork::ScheduleTick(int node,
                                 uint64_t process_number,
                                 core::Duration delay) {
  Schedule(delay, [this, node, process_number] {
    if (nodes_[node].process_number != process_number) {
      return;
    }
    if (!nodes_[node].is_frozen) {
      nodes_[node].protocol->Tick(now_);
      if (tick_handler_) {
        tick_handler_(node, now_);
      }
    }
    ScheduleTick(node, process_number, kGossipTick);
  });
}

void GossipNetwork::Send(int from,
                         const core::SocketAddress& to,
                         std::string_view bytes) {
  nodes_[from].traffic.sent_bytes += bytes.size() + kDatagramHeaderBytes;
  const auto it = by_address_.find(to);
  if (it == by_address_.end() || random_.Unit() < options_.drop ||
      (is_blocked_ && is_blocked_(from, it->second))) {
    return;
  }
  const core::Duration jitter =
      core::FromSeconds(random_.Unit() * core::ToSeconds(kMaxJitter));
  Datagram datagram{nodes_[from].address, from, std::string(bytes)};
  Schedule(kLatency + jitter, [this, to, datagram = std::move(datagram)] {
    const auto receiver = by_address_.find(to);
    if (receiver != by_address_.end()) {
      Deliver(receiver->second, datagram);
    }
  });
}

void GossipNetwork::Deliver(int to, const Datagram& datagram) {
  Node& node = nodes_[to];
  if (node.protocol == nullptr) {
    return;
  }
  if (node.is_frozen) {
    if (node.buffered_datagrams.size() < kMaxBufferedDatagrams) {
      node.buffered_datagrams.push_back(datagram);
    }
    return;
  }
  node.traffic.received_bytes += datagram.bytes.size() + kDatagramHeaderBytes;
  const auto view = ParseDatagram(datagram.bytes);
  const auto first_application =
      static_cast<uint8_t>(DatagramKind::kFirstApplication);
  if (view.ok() && view->kind >= first_application) {
    const Member* from = node.protocol->FindByAddress(datagram.from);
    if (from != nullptr && application_handler_) {
      application_handler_(to, Member(*from), *view);
    }
    return;
  }
  node.protocol->OnDatagram(datagram.from, datagram.bytes, now_).IgnoreError();
}

void GossipNetwork::RunFor(core::Duration duration) {
  const core::TimePoint end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    // The action may push events and thereby move the top, so the event is
    // moved out of the queue first.
    Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = end;
}

core::Duration GossipNetwork::RunUntil(const std::function<bool()>& condition,
                                       core::Duration limit) {
  constexpr core::Duration kStep = core::milliseconds(50);
  const core::TimePoint start = now_;
  while (!condition() && now_ - start < limit) {
    RunFor(kStep);
  }
  return now_ - start;
}

void GossipNetwork::SendApplication(int node,
                                    const core::SocketAddress& to,
                                    uint8_t kind,
                                    std::string_view body) {
  Send(node, to, WrapDatagram(kind, body));
}

MemberState GossipNetwork::StateSeen(int viewer, int node) {
  const Member* member = protocol(viewer).table()->Find(IdOf(node));
  return member == nullptr ? MemberState::kGone : member->state;
}

bool GossipNetwork::AllSee(int node, MemberState state) {
  for (int i = 0; i < size(); ++i) {
    if (i != node && IsRunning(i) && StateSeen(i, node) != state) {
      return false;
    }
  }
  return true;
}

bool GossipNetwork::IsConverged() {
  for (int i = 0; i < size(); ++i) {
    const auto expected =
        IsRunning(i) ? MemberState::kAlive : MemberState::kGone;
    if (!AllSee(i, expected)) {
      return false;
    }
  }
  return true;
}

}  // namespace wasabi::membership
