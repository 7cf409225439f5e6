#include "Tests/Support/RawServer/raw_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <optional>
#include <utility>

#include "LibCore/text.h"

namespace wasabi::support {

namespace {

// Returns the size in bytes of the first request in `text`, or nullopt if it is
// incomplete.
std::optional<size_t> WholeRequest(const std::string& text) {
  const size_t end = text.find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  constexpr std::string_view kLength = "content-length: ";
  const std::string head = core::ToLower(text.substr(0, end + 2));
  const size_t field = head.find(kLength);
  size_t body = 0;
  if (field != std::string::npos) {
    body = std::strtoul(head.c_str() + field + kLength.size(), nullptr, 10);
  }
  const size_t size = end + 4 + body;
  return text.size() >= size ? std::optional<size_t>(size) : std::nullopt;
}

}  // namespace

struct RawServer::Connection {
  std::shared_ptr<http::TcpStream> stream;
  std::string input;
};

RawServer::RawServer(core::EventLoop* loop, const core::SocketAddress& address)
    : loop_(loop), address_(address) {
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in native = address.ToNative();
  constexpr int kBacklog = 64;
  if (bind(descriptor_, reinterpret_cast<const sockaddr*>(&native),
           sizeof(native)) != 0 ||
      listen(descriptor_, kBacklog) != 0) {
    std::abort();
  }
  watcher_ = loop_->Watch(
      descriptor_,
      [this](bool /*readable*/, bool /*writable*/) { AcceptAvailable(); });
}

RawServer::~RawServer() {
  CloseAll();
  StopListening();
}

void RawServer::SetAnswer(std::string answer, bool closes) {
  answer_ = std::move(answer);
  closes_ = closes;
}

void RawServer::SetResponder(
    std::function<std::string(const std::string& text)> respond) {
  respond_ = std::move(respond);
}

void RawServer::WriteToAll(std::string_view bytes) {
  for (const ConnectionPointer& it : connections_) {
    it->stream->Write(bytes);
  }
}

void RawServer::StopListening() {
  watcher_.reset();
  if (descriptor_ >= 0) {
    close(descriptor_);
    descriptor_ = -1;
  }
}

void RawServer::CloseAll() {
  const std::set<ConnectionPointer> connections = std::move(connections_);
  connections_.clear();
  for (const ConnectionPointer& it : connections) {
    it->stream->Close();
  }
}

void RawServer::ResetAll() {
  const std::set<ConnectionPointer> connections = std::move(connections_);
  connections_.clear();
  for (const ConnectionPointer& it : connections) {
    it->stream->Abort();
  }
}

void RawServer::ShutDownAll() {
  for (const ConnectionPointer& it : connections_) {
    it->stream->ShutDownWriting();
  }
}

void RawServer::AcceptAvailable() {
  while (descriptor_ >= 0) {
    const int descriptor =
        accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    ++accepted_;
    const auto connection = std::make_shared<Connection>();
    connection->stream = http::TcpStream::Adopt(loop_, descriptor);
    connections_.insert(connection);
    const std::weak_ptr<Connection> weak = connection;
    http::TcpStream::Callbacks callbacks;
    callbacks.on_data = [this, weak](std::string_view bytes) {
      if (const auto it = weak.lock()) {
        OnData(it, bytes);
      }
    };
    callbacks.on_end = [this, weak](http::TcpStream::End /*end*/) {
      if (const auto it = weak.lock()) {
        it->stream->Close();
        connections_.erase(it);
      }
    };
    connection->stream->Start(std::move(callbacks));
  }
}

void RawServer::OnData(const ConnectionPointer& connection,
                       std::string_view bytes) {
  connection->input.append(bytes);
  if (answers_early_) {
    AnswerEarly(connection);
    return;
  }
  while (const auto size = WholeRequest(connection->input)) {
    ++requests_;
    const std::string request = connection->input.substr(0, *size);
    connection->input.erase(0, *size);
    connection->stream->Write(respond_ ? respond_(request) : answer_);
    if (closes_) {
      connection->stream->Close();
      connections_.erase(connection);
      return;
    }
  }
}

void RawServer::AnswerEarly(const ConnectionPointer& connection) {
  if (connection->input.find("\r\n\r\n") == std::string::npos) {
    return;
  }
  ++requests_;
  connection->stream->SetReading(false);
  const std::string text = std::exchange(connection->input, {});
  connection->stream->Write(respond_ ? respond_(text) : answer_);
}

}  // namespace wasabi::support
