#include "LibLink/link_node.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibLink/client_session.h"
#include "LibLink/server_session.h"

namespace wasabi::link {

namespace {

constexpr int kListenBacklog = 512;

// Returns the sessions of `weak` that are still open.
template <typename SessionType>
std::vector<std::shared_ptr<SessionType>> OpenSessions(
    const std::vector<std::weak_ptr<SessionType>>& weak) {
  std::vector<std::shared_ptr<SessionType>> open;
  for (const auto& it : weak) {
    std::shared_ptr<SessionType> session = it.lock();
    if (session != nullptr && !session->closed()) {
      open.push_back(std::move(session));
    }
  }
  return open;
}

template <typename SessionType>
void RemoveClosed(std::vector<std::weak_ptr<SessionType>>* sessions) {
  std::erase_if(*sessions, [](const std::weak_ptr<SessionType>& it) {
    const std::shared_ptr<SessionType> session = it.lock();
    return session == nullptr || session->closed();
  });
}

}  // namespace

absl::StatusOr<std::unique_ptr<LinkNode>> LinkNode::Create(
    core::EventLoop* loop,
    const LinkOptions& options,
    PeerCheck peer_check,
    InboundHandler inbound_handler) {
  auto context = std::make_shared<LinkContext>();
  context->loop = loop;
  context->options = options;
  context->peer_check = std::move(peer_check);
  context->inbound_handler = std::move(inbound_handler);
  std::unique_ptr<LinkNode> node(new LinkNode(std::move(context)));
  TRY(node->Listen());
  return node;
}

LinkNode::LinkNode(std::shared_ptr<LinkContext> context)
    : context_(std::move(context)) {}

LinkNode::~LinkNode() {
  listener_watcher_.reset();
  if (listener_ >= 0) {
    close(listener_);
  }
  for (const auto& session : OpenSessions(servers_)) {
    session->Close("this host is stopping");
  }
  for (const auto& session : OpenSessions(draining_clients_)) {
    session->Close("this host is stopping");
  }
  const auto clients = std::exchange(clients_, {});
  for (const auto& [peer, session] : clients) {
    session->Close("this host is stopping");
  }
}

absl::Status LinkNode::Listen() {
  core::SocketAddress& address = context_->options.listen_address;
  const auto error = [&address] {
    return core::MakeStatus(
        core::ResultCode::kCannotListen,
        fmt::format("cannot listen at link address {}: {}", address.ToString(),
                    std::strerror(errno)));
  };
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (listener_ < 0) {
    return error();
  }
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in native = address.ToNative();
  auto* generic = reinterpret_cast<sockaddr*>(&native);
  socklen_t length = sizeof(native);
  if (bind(listener_, generic, length) != 0 ||
      listen(listener_, kListenBacklog) != 0 ||
      getsockname(listener_, generic, &length) != 0) {
    return error();
  }
  address = core::SocketAddress::FromNative(native);
  listener_watcher_ =
      context_->loop->Watch(listener_, [this](bool, bool) { Accept(); });
  ticker_ = context_->loop->NewTimer([this] { Tick(); });
  ticker_->StartRepeating(context_->options.ping_interval);
  return absl::OkStatus();
}

void LinkNode::Accept() {
  sockaddr_in native{};
  socklen_t length = sizeof(native);
  const int descriptor =
      accept4(listener_, reinterpret_cast<sockaddr*>(&native), &length,
              SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor < 0) {
    return;
  }
  RemoveClosed(&servers_);
  servers_.push_back(ServerSession::Start(
      context_, descriptor, core::SocketAddress::FromNative(native)));
}

void LinkNode::Tick() {
  // Iterates over copies: closing a session runs callbacks, which may start
  // calls and so change the containers.
  std::vector<std::shared_ptr<Session>> sessions;
  for (const auto& session : OpenSessions(servers_)) {
    sessions.push_back(session);
  }
  for (const auto& session : OpenSessions(draining_clients_)) {
    sessions.push_back(session);
  }
  for (const auto& [peer, session] : clients_) {
    sessions.push_back(session);
  }
  for (const auto& session : sessions) {
    session->Tick();
  }
  absl::erase_if(clients_,
                 [](const auto& entry) { return entry.second->closed(); });
}

std::shared_ptr<OutboundCall> LinkNode::Call(const core::SocketAddress& peer,
                                             CallKind kind,
                                             std::string request,
                                             CallHandlers handlers) {
  std::shared_ptr<ClientSession>& client = clients_[peer];
  if (client == nullptr || !client->CanTakeCalls()) {
    if (client != nullptr) {
      RemoveClosed(&draining_clients_);
      draining_clients_.push_back(client);
    }
    client = ClientSession::Connect(context_, peer);
  }
  return client->Call(kind, std::move(request), std::move(handlers));
}

void LinkNode::StopAccepting() {
  listener_watcher_.reset();
  if (listener_ >= 0) {
    close(std::exchange(listener_, -1));
  }
  for (const auto& session : OpenSessions(servers_)) {
    session->StopAccepting();
  }
}

bool LinkNode::IsDrained() const {
  const auto servers = OpenSessions(servers_);
  return std::all_of(servers.begin(), servers.end(),
                     [](const auto& session) { return session->IsIdle(); });
}

core::SocketAddress LinkNode::address() const {
  return context_->options.listen_address;
}

uint64_t LinkNode::bytes_sent() const {
  return context_->bytes_sent;
}

uint64_t LinkNode::bytes_received() const {
  return context_->bytes_received;
}

}  // namespace wasabi::link
