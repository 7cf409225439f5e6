#include "LibHttp/origin_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibHttp/origin_connection.h"
#include "LibHttp/origin_send.h"

namespace wasabi::http {

namespace {

// Maximum number of pooled idle connections per endpoint.
constexpr size_t kMaxIdle = 8;
// A connection that is younger may have been established after the one that
// broke: a host that was suspended learns of both at once.
constexpr core::Duration kMinWitnessAge = core::seconds(1);

}  // namespace

OriginClient::OriginClient(core::EventLoop* loop,
                           std::shared_ptr<BufferMemory> memory)
    : loop_(loop),
      memory_(std::move(memory)),
      self_(std::make_shared<OriginClient*>(this)) {}

OriginClient::~OriginClient() {
  self_.reset();
  for (const auto& [address, connections] : idle_) {
    for (const auto& connection : connections) {
      connection->Close();
    }
  }
}

std::shared_ptr<OriginCall> OriginClient::Send(const OriginRequest& request,
                                               OriginCallbacks callbacks) {
  auto ready = TakeIdle(request);
  if (!ready) {
    ready = NewConnection(request);
  }
  return ready->connection->Start(request, std::move(ready->permit),
                                  std::move(callbacks));
}

OriginClient::ReadyConnection OriginClient::NewConnection(
    const OriginRequest& request) {
  const auto connection = std::make_shared<OriginConnection>(
      loop_, self_, request.address, memory_, ++connections_made_);
  // It may carry any request, since it has carried none.
  return {.connection = connection, .permit = *connection->BeginSend(request)};
}

void OriginClient::Forget(const core::SocketAddress& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) {
    return;
  }
  const IdleList connections = std::move(it->second);
  idle_.erase(it);
  for (const auto& connection : connections) {
    connection->Close();
  }
}

void OriginClient::Expire(core::TimePoint now) {
  for (auto& [address, connections] : idle_) {
    std::vector<std::shared_ptr<OriginConnection>> expired;
    std::copy_if(connections.begin(), connections.end(),
                 std::back_inserter(expired), [now](const auto& it) {
                   return !it->IsUsable(now, core::Duration::max());
                 });
    for (const auto& connection : expired) {
      std::erase(connections, connection);
      connection->Close();
    }
  }
  std::erase_if(idle_, [](const auto& it) { return it.second.empty(); });
}

void OriginClient::NoteConnected(const core::SocketAddress& address,
                                 core::TimePoint at) {
  open_[address].insert(at);
  if (observer_.on_connected) {
    observer_.on_connected(address);
  }
}

void OriginClient::NoteClosed(const core::SocketAddress& address,
                              core::TimePoint at) {
  const auto it = open_.find(address);
  if (it == open_.end()) {
    return;
  }
  const auto closed = it->second.find(at);
  if (closed != it->second.end()) {
    it->second.erase(closed);
  }
  if (it->second.empty()) {
    open_.erase(it);
  }
}

void OriginClient::NoteBroken(const core::SocketAddress& address) {
  const auto it = open_.find(address);
  const bool has_witness =
      it != open_.end() && loop_->Now() - *it->second.begin() >= kMinWitnessAge;
  if (!has_witness && observer_.on_lost) {
    observer_.on_lost(address);
  }
}

void OriginClient::NoteRefused(const core::SocketAddress& address) {
  if (observer_.on_refused) {
    observer_.on_refused(address);
  }
}

void OriginClient::NoteUnsolicited(const core::SocketAddress& address,
                                   const ConnectionUse& use,
                                   size_t bytes) {
  ++unsolicited_closes_;
  if (observer_.on_unsolicited) {
    observer_.on_unsolicited(address, use, bytes);
  }
}

std::shared_ptr<OriginConnection> OriginClient::FindIdle(
    const OriginRequest& request) const {
  const auto list = idle_.find(request.address);
  if (list == idle_.end()) {
    return nullptr;
  }
  // The most recently used connection is the least likely one to have been
  // closed by the endpoint.
  const IdleList& connections = list->second;
  const auto it = std::find_if(
      connections.rbegin(), connections.rend(), [&](const auto& candidate) {
        return candidate->IsUsable(loop_->Now(), request.max_idle) &&
               candidate->MayCarry(request);
      });
  return it == connections.rend() ? nullptr : *it;
}

std::optional<OriginClient::ReadyConnection> OriginClient::TakeIdle(
    const OriginRequest& request) {
  if (!IsPooled(request)) {
    return std::nullopt;
  }
  while (std::shared_ptr<OriginConnection> connection = FindIdle(request)) {
    Drop(connection.get());
    // Bytes that have arrived meanwhile answer no request, and after its end
    // the connection carries none.
    connection->ReadWaiting();
    if (!connection->is_open()) {
      continue;
    }
    if (auto permit = connection->BeginSend(request)) {
      return ReadyConnection{.connection = std::move(connection),
                             .permit = *std::move(permit)};
    }
    connection->Close();
  }
  return std::nullopt;
}

void OriginClient::KeepIdle(
    const std::shared_ptr<OriginConnection>& connection) {
  IdleList& connections = idle_[connection->address()];
  connections.push_back(connection);
  if (connections.size() > kMaxIdle) {
    connections.front()->Close();
    connections.pop_front();
  }
}

void OriginClient::Drop(const OriginConnection* connection) {
  const auto it = idle_.find(connection->address());
  if (it == idle_.end()) {
    return;
  }
  std::erase_if(it->second, [connection](const auto& candidate) {
    return candidate.get() == connection;
  });
}

}  // namespace wasabi::http
