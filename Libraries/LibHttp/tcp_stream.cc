#include "LibHttp/tcp_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "LibCore/result_code.h"
#include "LibHttp/open_sockets.h"

namespace wasabi::http {

namespace {

constexpr size_t kReadBytes = 64U << 10U;
// With these values TCP keep-alive detects a dead peer within about three
// seconds.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

template <typename Value>
void SetOption(int descriptor, int level, int name, Value value) {
  // Errors are ignored: a socket without an option still works, but a dead peer
  // is detected later.
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

void SetOptions(int descriptor) {
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned>(core::ToMilliseconds(kDeadPeerTime)));
}

bool IsTransient(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

absl::StatusOr<std::shared_ptr<TcpStream>> TcpStream::Connect(
    core::EventLoop* loop,
    const core::SocketAddress& address) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return core::MakeStatus(core::ResultCode::kPeerUnreachable,
                            std::strerror(errno));
  }
  SetOptions(descriptor);
  const sockaddr_in native = address.ToNative();
  const int result = connect(
      descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof(native));
  if (result != 0 && errno != EINPROGRESS) {
    const int error = errno;
    close(descriptor);
    return core::MakeStatus(core::ResultCode::kPeerUnreachable,
                            std::strerror(error));
  }
  return std::shared_ptr<TcpStream>(new TcpStream(loop, descriptor, true));
}

std::shared_ptr<TcpStream> TcpStream::Adopt(core::EventLoop* loop,
                                            int descriptor) {
  SetOptions(descriptor);
  return std::shared_ptr<TcpStream>(new TcpStream(loop, descriptor, false));
}

TcpStream::TcpStream(core::EventLoop* loop, int descriptor, bool is_connecting)
    : loop_(loop), descriptor_(descriptor), is_connecting_(is_connecting) {}

TcpStream::~TcpStream() {
  Close();
}

void TcpStream::Start(Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  watcher_ = loop_->Watch(
      descriptor_, [weak = weak_from_this()](bool readable, bool writable) {
        if (const auto self = weak.lock()) {
          self->OnReady(readable, writable);
        }
      });
  UpdateInterest();
}

void TcpStream::SetCallbacks(Callbacks callbacks) {
  // One of the previous callbacks may be running, so their destruction is
  // posted to the loop.
  loop_->Post([released = std::make_shared<Callbacks>(
                   std::exchange(callbacks_, std::move(callbacks)))]() {});
}

void TcpStream::Write(std::string_view bytes) {
  if (!is_open() || is_shut_down_) {
    return;
  }
  buffer_.append(bytes);
  if (is_connecting_) {
    held_.Set(buffer_.capacity());
  } else {
    Flush();
  }
}

size_t TcpStream::readable_bytes() const {
  int bytes = 0;
  if (!is_open() || ioctl(descriptor_, FIONREAD, &bytes) != 0) {
    return 0;
  }
  return static_cast<size_t>(bytes);
}

bool TcpStream::has_delivered_all() const {
  return !has_send_failed_ && buffer_.empty() && HasDeliveredAll(descriptor_);
}

void TcpStream::ReadNow() {
  const auto self = shared_from_this();
  if (is_open() && is_reading_ && !is_connecting_) {
    ReadAvailable();
  }
}

void TcpStream::SetMaxStall(core::Duration max_stall) {
  SetOption(descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned>(core::ToMilliseconds(max_stall)));
}

void TcpStream::SetReading(bool is_reading) {
  is_reading_ = is_reading;
  UpdateInterest();
}

void TcpStream::ShutDownWriting() {
  if (!is_open() || is_shut_down_) {
    return;
  }
  if (!buffer_.empty()) {
    shuts_down_when_drained_ = true;
    return;
  }
  is_shut_down_ = true;
  shutdown(descriptor_, SHUT_WR);
}

void TcpStream::Close() {
  watcher_.reset();
  if (descriptor_ >= 0) {
    close(descriptor_);
    descriptor_ = -1;
  }
  buffer_.clear();
  ReleaseIfEmpty(&buffer_);
  held_.Set(buffer_.capacity());
  if (callbacks_.on_data) {
    SetCallbacks({});
  }
}

void TcpStream::Abort() {
  if (is_open()) {
    SetOption(descriptor_, SOL_SOCKET, SO_LINGER,
              linger{.l_onoff = 1, .l_linger = 0});
  }
  Close();
}

void TcpStream::OnReady(bool is_readable, bool is_writable) {
  const auto self = shared_from_this();
  if (is_connecting_) {
    if (is_writable && FinishConnecting()) {
      Flush();
    }
    return;
  }
  if (is_writable && is_open()) {
    Flush();
  }
  if (is_readable && is_open()) {
    ReadAvailable();
  }
}

bool TcpStream::FinishConnecting() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    ReportEnd(End::kBroken);
    return false;
  }
  is_connecting_ = false;
  UpdateInterest();
  if (callbacks_.on_connected) {
    callbacks_.on_connected();
  }
  return is_open();
}

void TcpStream::ReadAvailable() {
  static std::array<char, kReadBytes> buf;
  const ssize_t n = recv(descriptor_, buf.data(), held_.Limit(buf.size()), 0);
  if (n > 0) {
    callbacks_.on_data({buf.data(), static_cast<size_t>(n)});
    return;
  }
  if (n == 0) {
    ReportEnd(has_send_failed_ ? End::kBroken : End::kClosed);
    return;
  }
  if (!IsTransient(errno)) {
    ReportEnd(End::kBroken);
  }
}

void TcpStream::SendBuffered() {
  while (!buffer_.empty()) {
    const ssize_t n =
        send(descriptor_, buffer_.data(), buffer_.size(), MSG_NOSIGNAL);
    if (n < 0) {
      // The read side reports a broken connection in a later turn of the loop,
      // so that Write never calls back into its caller.
      if (!IsTransient(errno)) {
        has_send_failed_ = true;
        buffer_.clear();
      }
      break;
    }
    has_sent_ = true;
    buffer_.erase(0, static_cast<size_t>(n));
  }
  ReleaseIfEmpty(&buffer_);
  held_.Set(buffer_.capacity());
}

void TcpStream::Flush() {
  const bool had_bytes = !buffer_.empty();
  SendBuffered();
  UpdateInterest();
  if (!buffer_.empty()) {
    return;
  }
  if (shuts_down_when_drained_) {
    shuts_down_when_drained_ = false;
    ShutDownWriting();
  }
  if (had_bytes && callbacks_.on_drained) {
    loop_->Post([weak = weak_from_this()]() {
      const auto self = weak.lock();
      if (self != nullptr && self->is_open() && self->buffer_.empty() &&
          self->callbacks_.on_drained) {
        self->callbacks_.on_drained();
      }
    });
  }
}

void TcpStream::UpdateInterest() {
  if (watcher_ == nullptr) {
    return;
  }
  watcher_->SetInterest(is_reading_ && !is_connecting_,
                        is_connecting_ || !buffer_.empty());
}

void TcpStream::ReportEnd(End end) {
  const auto self = shared_from_this();
  // The socket stays open, because a peer that only half-closed the connection
  // can still receive.
  watcher_->SetInterest(false, end == End::kClosed && !buffer_.empty());
  is_reading_ = false;
  const auto on_end = callbacks_.on_end;
  if (on_end) {
    on_end(end);
  }
}

}  // namespace wasabi::http
