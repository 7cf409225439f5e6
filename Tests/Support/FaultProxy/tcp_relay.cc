#include "Tests/Support/FaultProxy/tcp_relay.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::support {

namespace {

constexpr size_t kReadBytes = 64U << 10U;
// A pipe that buffers this much stops reading, so that TCP flow control stops
// the sender.
constexpr size_t kMaxBufferedBytes = 1U << 20U;
// Interval at which pipes with a freeze or delay are polled.
constexpr core::Duration kPollPeriod = std::chrono::milliseconds(2);
// Time from an early answer until its connection is reset.
constexpr core::Duration kEarlyResetDelay = std::chrono::milliseconds(100);
constexpr int kListenBacklog = 1024;

int OpenSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

}  // namespace

// A client's connection paired with the connection to the target.
class TcpRelay::Connection
    : public std::enable_shared_from_this<TcpRelay::Connection> {
 public:
  Connection(TcpRelay* relay, int client, int target)
      : relay_(relay),
        early_answer_(relay->early_answer_),
        to_target_{Direction::kToTarget, client, target, {}, false},
        to_client_{Direction::kToClient, target, client, {}, false} {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Start() {
    core::EventLoop* loop = relay_->loop_;
    client_watcher_ =
        loop->Watch(to_target_.from, [this](bool, bool) { Relay(); });
    target_watcher_ =
        loop->Watch(to_target_.to, [this](bool, bool) { Relay(); });
    target_watcher_->SetInterest(true, true);
    timer_ = loop->NewTimer([this] { Relay(); });
  }

  // Permanently stops relaying and leaves both connections open.
  void Silence() {
    client_watcher_ = nullptr;
    target_watcher_ = nullptr;
    timer_ = nullptr;
  }

  // Closes both connections with a TCP reset.
  void Reset() {
    const linger hard{1, 0};
    setsockopt(to_target_.from, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    setsockopt(to_target_.to, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    Close();
  }

 private:
  // Buffered bytes that may be sent from `due` on.
  struct Chunk {
    core::TimePoint due;
    std::string bytes;
  };

  // One direction of the connection and its buffer.
  struct Pipe {
    Direction direction;
    int from;
    int to;
    std::deque<Chunk> chunks;
    bool has_ended;
  };

  // Relays as much as possible in both directions. An error on either socket
  // closes both.
  void Relay() {
    const std::shared_ptr<Connection> self = shared_from_this();
    const bool is_alive = Read(&to_target_) && Read(&to_client_) &&
                          Write(&to_target_) && Write(&to_client_);
    if (!is_alive || (to_target_.has_ended && to_client_.has_ended)) {
      relay_->connections_.erase(self);
      Close();
      return;
    }
    UpdateInterest();
  }

  bool Read(Pipe* pipe) {
    const core::TimePoint now = relay_->loop_->Now();
    if (pipe->has_ended || IsPaused(*pipe)) {
      return true;
    }
    std::array<char, kReadBytes> buf{};
    const ssize_t n = recv(pipe->from, buf.data(), buf.size(), 0);
    if (n < 0) {
      return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
    }
    if (n > 0 && pipe == &to_target_ &&
        AnswerEarly({buf.data(), static_cast<size_t>(n)})) {
      return true;
    }
    const Treatment treatment = relay_->faults_->Treat(pipe->direction, now);
    if (n == 0) {
      pipe->has_ended = true;
      // An empty chunk marks the end of the stream.
      pipe->chunks.push_back({now + treatment.delay, ""});
    } else if (!treatment.is_dropped) {
      pipe->chunks.push_back({now + treatment.delay,
                              std::string(buf.data(), static_cast<size_t>(n))});
    }
    return true;
  }

  // Answers the client's first bytes if they are not to be relayed, and reads
  // no more of it.
  bool AnswerEarly(std::string_view bytes) {
    const EarlyAnswer early_answer = std::exchange(early_answer_, nullptr);
    const std::string answer = early_answer ? early_answer(bytes) : "";
    if (answer.empty()) {
      return false;
    }
    send(to_target_.from, answer.data(), answer.size(), MSG_NOSIGNAL);
    is_answered_ = true;
    timer_ = relay_->loop_->NewTimer([this]() {
      const std::shared_ptr<Connection> self = shared_from_this();
      relay_->connections_.erase(self);
      Reset();
    });
    timer_->StartOnce(kEarlyResetDelay);
    client_watcher_->SetInterest(false, false);
    target_watcher_->SetInterest(false, false);
    return true;
  }

  bool Write(Pipe* pipe) {
    const core::TimePoint now = relay_->loop_->Now();
    while (!pipe->chunks.empty() && pipe->chunks.front().due <= now &&
           !relay_->faults_->IsFrozen(pipe->direction, now)) {
      Chunk& chunk = pipe->chunks.front();
      if (chunk.bytes.empty()) {
        shutdown(pipe->to, SHUT_WR);
        pipe->chunks.pop_front();
        continue;
      }
      const ssize_t n =
          send(pipe->to, chunk.bytes.data(), chunk.bytes.size(), MSG_NOSIGNAL);
      if (n < 0) {
        return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
      }
      chunk.bytes.erase(0, static_cast<size_t>(n));
      if (chunk.bytes.empty()) {
        pipe->chunks.pop_front();
      }
    }
    return true;
  }

  bool IsPaused(const Pipe& pipe) const {
    size_t buffered = 0;
    for (const Chunk& chunk : pipe.chunks) {
      buffered += chunk.bytes.size();
    }
    return buffered >= kMaxBufferedBytes ||
           relay_->faults_->IsFrozen(pipe.direction, relay_->loop_->Now());
  }

  // Watches the sockets for the operations that the pipes can do now. The timer
  // covers delays and freezes, which no socket event ends.
  void UpdateInterest() {
    if (is_answered_) {
      return;
    }
    const core::TimePoint now = relay_->loop_->Now();
    bool needs_poll = false;
    std::array<bool, 2> can_read{};
    std::array<bool, 2> must_write{};
    const std::array<const Pipe*, 2> pipes = {&to_target_, &to_client_};
    for (size_t i = 0; i < pipes.size(); ++i) {
      const Pipe& pipe = *pipes.at(i);
      const bool is_paused = IsPaused(pipe);
      const bool is_due =
          !pipe.chunks.empty() && pipe.chunks.front().due <= now && !is_paused;
      can_read.at(i) = !pipe.has_ended && !is_paused;
      must_write.at(i) = is_due;
      needs_poll |= is_paused || (!pipe.chunks.empty() && !is_due);
    }
    client_watcher_->SetInterest(can_read[0], must_write[1]);
    target_watcher_->SetInterest(can_read[1], must_write[0]);
    if (needs_poll) {
      timer_->StartOnce(kPollPeriod);
    }
  }

  void Close() {
    Silence();
    if (to_target_.from >= 0) {
      close(to_target_.from);
      close(to_target_.to);
      to_target_.from = -1;
    }
  }

  TcpRelay* relay_;
  EarlyAnswer early_answer_;
  bool is_answered_ = false;
  Pipe to_target_;
  Pipe to_client_;
  std::unique_ptr<core::IoWatcher> client_watcher_;
  std::unique_ptr<core::IoWatcher> target_watcher_;
  std::unique_ptr<core::Timer> timer_;
};

absl::StatusOr<std::unique_ptr<TcpRelay>> TcpRelay::Create(
    core::EventLoop* loop,
    const core::SocketAddress& address,
    const core::SocketAddress& target,
    LinkFaults* faults) {
  std::unique_ptr<TcpRelay> relay(new TcpRelay(loop, address, target, faults));
  TRY(relay->Listen());
  return relay;
}

absl::Status TcpRelay::Listen() {
  listener_ = OpenSocket();
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in native = address_.ToNative();
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&native),
           sizeof(native)) != 0 ||
      listen(listener_, kListenBacklog) != 0) {
    return core::MakeStatus(
        core::ResultCode::kCannotListen,
        fmt::format("can't listen on TCP address {}", address_.ToString()));
  }
  watcher_ = loop_->Watch(listener_, [this](bool, bool) { OnAccept(); });
  return absl::OkStatus();
}

void TcpRelay::StopListening() {
  watcher_ = nullptr;
  for (const int filler : std::exchange(fillers_, {})) {
    close(filler);
  }
  if (listener_ >= 0) {
    close(std::exchange(listener_, -1));
  }
}

void TcpRelay::RefuseConnections() {
  StopListening();
}

void TcpRelay::IgnoreConnections() {
  // A queue of length 0 still takes one connection; the others are enough for a
  // few more that the kernel may let in.
  constexpr size_t kFillers = 4;
  if (listener_ < 0 || !fillers_.empty()) {
    return;
  }
  watcher_ = nullptr;
  listen(listener_, 0);
  const sockaddr_in native = address_.ToNative();
  for (size_t i = 0; i < kFillers; ++i) {
    const int filler = OpenSocket();
    // It is under way, or the queue is full already; both fill the queue.
    static_cast<void>(connect(
        filler, reinterpret_cast<const sockaddr*>(&native), sizeof(native)));
    fillers_.push_back(filler);
  }
}

absl::Status TcpRelay::AcceptConnections() {
  StopListening();
  return Listen();
}

TcpRelay::TcpRelay(core::EventLoop* loop,
                   const core::SocketAddress& address,
                   const core::SocketAddress& target,
                   LinkFaults* faults)
    : loop_(loop), address_(address), target_(target), faults_(faults) {}

TcpRelay::~TcpRelay() {
  StopListening();
  connections_.clear();
}

void TcpRelay::ResetAll() {
  for (const std::shared_ptr<Connection>& it :
       std::exchange(connections_, {})) {
    it->Reset();
  }
}

void TcpRelay::StallAll() {
  for (const std::shared_ptr<Connection>& it : connections_) {
    it->Silence();
  }
}

void TcpRelay::OnAccept() {
  const int client =
      accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (client < 0) {
    return;
  }
  const int target = OpenSocket();
  // Routers accept connections from known IP addresses only, so the outgoing
  // connection uses the link's own IP address, with an ephemeral port.
  sockaddr_in source = address_.ToNative();
  source.sin_port = 0;
  const bool is_bound = bind(target, reinterpret_cast<const sockaddr*>(&source),
                             sizeof(source)) == 0;
  const sockaddr_in native = target_.ToNative();
  const int result = connect(target, reinterpret_cast<const sockaddr*>(&native),
                             sizeof(native));
  if (!is_bound || (result != 0 && errno != EINPROGRESS)) {
    close(client);
    close(target);
    return;
  }
  const auto connection = std::make_shared<Connection>(this, client, target);
  connections_.insert(connection);
  connection->Start();
}

}  // namespace wasabi::support
