#include "Tests/Support/FaultProxy/udp_relay.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::support {

namespace {

constexpr size_t kMaxDatagramBytes = 64U << 10U;
// Maximum number of clients. Datagrams of further clients are dropped.
constexpr size_t kMaxClients = 4096;

struct Datagram {
  core::SocketAddress sender;
  std::string bytes;
};

std::optional<Datagram> Receive(int socket) {
  std::array<char, kMaxDatagramBytes> buf{};
  sockaddr_in native{};
  socklen_t length = sizeof(native);
  const ssize_t n = recvfrom(socket, buf.data(), buf.size(), 0,
                             reinterpret_cast<sockaddr*>(&native), &length);
  if (n < 0) {
    return std::nullopt;
  }
  return Datagram{core::SocketAddress::FromNative(native),
                  std::string(buf.data(), static_cast<size_t>(n))};
}

void Send(int socket,
          const core::SocketAddress& destination,
          const std::string& bytes) {
  const sockaddr_in native = destination.ToNative();
  sendto(socket, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&native), sizeof(native));
}

int OpenSocket() {
  return socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

}  // namespace

absl::StatusOr<std::unique_ptr<UdpRelay>> UdpRelay::Create(
    core::EventLoop* loop,
    const core::SocketAddress& address,
    const core::SocketAddress& target,
    LinkFaults* faults) {
  std::unique_ptr<UdpRelay> relay(new UdpRelay(loop, target, faults));
  relay->socket_ = OpenSocket();
  const sockaddr_in native = address.ToNative();
  if (bind(relay->socket_, reinterpret_cast<const sockaddr*>(&native),
           sizeof(native)) != 0) {
    return core::MakeStatus(
        core::ResultCode::kCannotListen,
        fmt::format("can't listen on UDP address {}", address.ToString()));
  }
  UdpRelay* it = relay.get();
  relay->watcher_ =
      loop->Watch(relay->socket_, [it](bool, bool) { it->OnClientDatagram(); });
  return relay;
}

UdpRelay::UdpRelay(core::EventLoop* loop,
                   const core::SocketAddress& target,
                   LinkFaults* faults)
    : loop_(loop), target_(target), faults_(faults) {}

UdpRelay::~UdpRelay() {
  watcher_ = nullptr;
  for (auto& [address, client] : clients_) {
    client.watcher = nullptr;
    close(client.socket);
  }
  close(socket_);
}

void UdpRelay::OnClientDatagram() {
  const std::optional<Datagram> datagram = Receive(socket_);
  if (!datagram) {
    return;
  }
  const Client* client = FindOrAddClient(datagram->sender);
  if (client != nullptr) {
    RelayDatagram(Direction::kToTarget, client->socket, target_,
                  datagram->bytes);
  }
}

void UdpRelay::OnTargetDatagram(const core::SocketAddress& client) {
  const std::optional<Datagram> datagram = Receive(clients_.at(client).socket);
  if (datagram) {
    RelayDatagram(Direction::kToClient, socket_, client, datagram->bytes);
  }
}

UdpRelay::Client* UdpRelay::FindOrAddClient(
    const core::SocketAddress& address) {
  const auto known = clients_.find(address);
  if (known != clients_.end()) {
    return &known->second;
  }
  if (clients_.size() >= kMaxClients) {
    return nullptr;
  }
  Client& client = clients_[address];
  client.socket = OpenSocket();
  client.watcher = loop_->Watch(client.socket, [this, address](bool, bool) {
    OnTargetDatagram(address);
  });
  return &client;
}

void UdpRelay::RelayDatagram(Direction direction,
                             int socket,
                             const core::SocketAddress& destination,
                             const std::string& datagram) {
  const core::TimePoint now = loop_->Now();
  const Treatment treatment = faults_->Treat(direction, now);
  if (treatment.is_dropped || faults_->IsFrozen(direction, now)) {
    return;
  }
  const int copies = treatment.is_duplicated ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (treatment.delay == core::Duration::zero()) {
      Send(socket, destination, datagram);
    } else {
      RelayDelayed(treatment.delay, socket, destination, datagram);
    }
  }
}

void UdpRelay::RelayDelayed(core::Duration delay,
                            int socket,
                            const core::SocketAddress& destination,
                            const std::string& datagram) {
  const uint64_t number = next_delayed_++;
  std::unique_ptr<core::Timer>& timer = delayed_[number];
  timer = loop_->NewTimer([=, this] {
    Send(socket, destination, datagram);
    delayed_.erase(number);
  });
  timer->StartOnce(delay);
}

}  // namespace wasabi::support
