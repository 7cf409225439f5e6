#include "LibHttp/request_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/try.h"
#include "LibHttp/accept.h"

namespace wasabi::http {

namespace {

constexpr int kBacklog = 512;
constexpr core::Duration kTimeoutCheckPeriod = core::milliseconds(250);

}  // namespace

absl::StatusOr<std::unique_ptr<RequestServer>> RequestServer::Create(
    core::EventLoop* loop,
    const core::SocketAddress& address,
    Handler handler) {
  std::unique_ptr<RequestServer> server(
      new RequestServer(loop, std::move(handler)));
  TRY(server->Listen(address));
  return server;
}

RequestServer::RequestServer(core::EventLoop* loop, Handler handler)
    : loop_(loop), handler_(std::move(handler)) {}

RequestServer::~RequestServer() {
  if (descriptor_ >= 0) {
    close(descriptor_);
  }
}

absl::Status RequestServer::Listen(const core::SocketAddress& address) {
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in native = address.ToNative();
  if (descriptor_ < 0 ||
      bind(descriptor_, reinterpret_cast<const sockaddr*>(&native),
           sizeof(native)) != 0 ||
      listen(descriptor_, kBacklog) != 0) {
    return core::MakeStatus(
        core::ResultCode::kCannotListen,
        address.ToString() + ": cannot listen: " + std::strerror(errno));
  }
  watcher_ = loop_->Watch(
      descriptor_,
      [this](bool /*readable*/, bool /*writable*/) { AcceptAvailable(); });
  timeout_timer_ = loop_->NewTimer([this]() { CheckTimeouts(); });
  timeout_timer_->StartRepeating(kTimeoutCheckPeriod);
  return absl::OkStatus();
}

void RequestServer::CloseAfterResponses() {
  closes_after_responses_ = true;
  for (const auto& [key, connection] : connections_) {
    connection->CloseAfterNextResponse();
  }
}

void RequestServer::StopListening() {
  // Closing the socket would reset connections that have not been accepted.
  AcceptAvailable();
  watcher_.reset();
  if (descriptor_ >= 0) {
    close(descriptor_);
    descriptor_ = -1;
  }
  for (const auto& connection : Connections()) {
    connection->CloseWhenIdle();
  }
}

void RequestServer::RefuseUnread() {
  for (const auto& connection : Connections()) {
    connection->RefuseUnread();
  }
}

size_t RequestServer::buffered_bytes() const {
  size_t bytes = 0;
  for (const auto& [key, connection] : connections_) {
    bytes += connection->buffered_bytes();
  }
  return bytes;
}

size_t RequestServer::open_transactions() const {
  return static_cast<size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& it) { return it.second->is_answering(); }));
}

void RequestServer::AcceptAvailable() {
  if (descriptor_ < 0) {
    return;
  }
  for (const AcceptedSocket& it : AcceptWaiting(descriptor_)) {
    AddConnection(it.descriptor);
  }
}

void RequestServer::AddConnection(int descriptor) {
  RequestConnection::Callbacks callbacks;
  callbacks.on_request = handler_;
  callbacks.on_rejected = reject_observer_;
  callbacks.on_closed = [this](RequestConnection* connection) {
    connections_.erase(connection);
  };
  const auto connection = std::make_shared<RequestConnection>(
      loop_, TcpStream::Adopt(loop_, descriptor), limits_, memory_,
      std::move(callbacks));
  connections_[connection.get()] = connection;
  if (closes_after_responses_) {
    connection->CloseAfterNextResponse();
  }
  connection->Start();
}

void RequestServer::CheckTimeouts() {
  const core::TimePoint now = loop_->Now();
  for (const auto& connection : Connections()) {
    connection->CheckTimeouts(now);
  }
}

std::vector<std::shared_ptr<RequestConnection>> RequestServer::Connections()
    const {
  std::vector<std::shared_ptr<RequestConnection>> connections;
  connections.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    connections.push_back(connection);
  }
  return connections;
}

}  // namespace wasabi::http
