#include "Tests/Once/once_endpoint.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <optional>
#include <utility>
#include <vector>

#include "LibCore/text.h"

namespace wasabi::once {

namespace {

constexpr core::Duration kServiceTime = core::milliseconds(20);
constexpr core::Duration kEventTime = core::milliseconds(40);
constexpr uint64_t kEvents = 6;
constexpr int kBacklog = 4;
constexpr int kMisdirected = 421;
constexpr int kOverloaded = 503;
constexpr core::Duration kResetCheckPeriod = core::milliseconds(10);
constexpr core::Duration kCopyDelay = core::milliseconds(5);

std::string HeaderIn(const std::string& request, const std::string& name) {
  const std::string lower =
      core::ToLower(request.substr(0, request.find("\r\n\r\n") + 2));
  const size_t field = lower.find("\r\n" + core::ToLower(name) + ": ");
  if (field == std::string::npos) {
    return "";
  }
  const size_t start = field + name.size() + 4;
  return request.substr(start, request.find("\r\n", start) - start);
}

// Returns the size of the first request in `text`, or nullopt if its head is
// incomplete.
std::optional<size_t> RequestSize(const std::string& text) {
  const size_t end = text.find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  const auto body =
      core::ParseNumber<size_t>(HeaderIn(text, "Content-Length")).value_or(0);
  return end + 4 + body;
}

std::string Refusal(int status, const std::string& ids) {
  return fmt::format(
      "HTTP/1.1 {} X\r\n{}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status,
      ids);
}

std::string Replace(std::string text,
                    const std::string& mark,
                    const std::string& value) {
  for (size_t at = text.find(mark); at != std::string::npos;
       at = text.find(mark, at + value.size())) {
    text.replace(at, mark.size(), value);
  }
  return text;
}

bool IsError(ssize_t n) {
  return n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

// Listens on `address`; aborts the process if that fails. Another endpoint may
// have listened there until now: a host's process that is being started holds
// its socket until it runs its own program.
int Listen(const core::SocketAddress& address) {
  constexpr int kTries = 200;
  constexpr useconds_t kPauseMicroseconds = 5000;
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in native = address.ToNative();
  for (int i = 0; i < kTries; ++i) {
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&native),
             sizeof(native)) == 0 &&
        listen(descriptor, kBacklog) == 0) {
      return descriptor;
    }
    usleep(kPauseMicroseconds);
  }
  std::cerr << fmt::format("can't listen on {}: {}\n", address.ToString(),
                           std::strerror(errno));
  std::abort();
}

}  // namespace

struct OnceEndpoint::Connection {
  int descriptor = -1;
  std::unique_ptr<core::IoWatcher> watcher;
  std::unique_ptr<core::Timer> timer;
  std::unique_ptr<core::Timer> late_timer;
  std::unique_ptr<core::Timer> reset_timer;
  std::unique_ptr<core::Timer> copy_timer;
  uint64_t number = 0;
  std::string input;
  // Bytes that arrive yet of a request that was refused.
  size_t refused_bytes = 0;
  bool has_read_head = false;
  // Refusals that are to be written once more.
  std::vector<std::string> copies;
  size_t requests = 0;
  std::shared_ptr<Work> work;
  bool is_stream = false;
  uint64_t next_event = 1;
  bool is_still = false;
};

OnceEndpoint::OnceEndpoint(core::EventLoop* loop,
                           std::string id,
                           const core::SocketAddress& address,
                           OnceRecord* record,
                           uint64_t seed)
    : loop_(loop),
      id_(std::move(id)),
      address_(address),
      record_(record),
      random_(seed) {
  descriptor_ = Listen(address_);
  watcher_ = loop_->Watch(
      descriptor_,
      [this](bool /*readable*/, bool /*writable*/) { AcceptAvailable(); });
}

OnceEndpoint::~OnceEndpoint() {
  CloseAll(true);
  watcher_.reset();
  close(descriptor_);
}

void OnceEndpoint::CloseAll(bool resets) {
  const std::set<ConnectionPointer> connections = connections_;
  for (const ConnectionPointer& it : connections) {
    Close(it, resets);
  }
}

void OnceEndpoint::SetAccepting(bool is_accepting) {
  watcher_->SetInterest(is_accepting, false);
}

void OnceEndpoint::AcceptAvailable() {
  while (true) {
    const int descriptor =
        accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    const auto connection = std::make_shared<Connection>();
    connection->descriptor = descriptor;
    connection->number = record_->refusals.NewConnection();
    connections_.insert(connection);
    const std::weak_ptr<Connection> weak = connection;
    connection->watcher = loop_->Watch(
        descriptor, [this, weak](bool /*readable*/, bool /*writable*/) {
          if (const auto it = weak.lock()) {
            OnReady(it);
          }
        });
  }
}

void OnceEndpoint::OnReady(const ConnectionPointer& connection) {
  if (connection->is_still) {
    connection->watcher->SetInterest(false, false);
    return;
  }
  std::array<char, 16384> buf{};
  const ssize_t n = recv(connection->descriptor, buf.data(), buf.size(), 0);
  if (n > 0) {
    connection->input.append(buf.data(), static_cast<size_t>(n));
    ReadRequests(connection);
    return;
  }
  const bool is_half_closed =
      n == 0 && behaviour_.ignores_half_close && connection->work != nullptr;
  if (is_half_closed) {
    connection->watcher->SetInterest(false, false);
    AwaitReset(connection);
  } else if (n == 0 || IsError(n)) {
    Close(connection, false);
  }
}

void OnceEndpoint::AwaitReset(const ConnectionPointer& connection) {
  connection->reset_timer =
      loop_->NewTimer([this, weak = std::weak_ptr(connection)]() {
        const auto it = weak.lock();
        if (it == nullptr || it->descriptor < 0) {
          return;
        }
        tcp_info info{};
        socklen_t size = sizeof(info);
        getsockopt(it->descriptor, IPPROTO_TCP, TCP_INFO, &info, &size);
        if (info.tcpi_state == TCP_CLOSE) {
          Close(it, false);
        }
      });
  connection->reset_timer->StartRepeating(kResetCheckPeriod);
}

void OnceEndpoint::ReadRequests(const ConnectionPointer& connection) {
  std::string& input = connection->input;
  const size_t refused = std::min(connection->refused_bytes, input.size());
  input.erase(0, refused);
  connection->refused_bytes -= refused;
  const auto size = RequestSize(input);
  if (connection->work != nullptr || !size) {
    return;
  }
  if (!std::exchange(connection->has_read_head, true) &&
      Refuse(connection, input)) {
    connection->has_read_head = false;
    connection->refused_bytes = *size;
    ReadRequests(connection);
    return;
  }
  if (input.size() < *size) {
    return;
  }
  const std::string request = input.substr(0, *size);
  input.erase(0, *size);
  connection->has_read_head = false;
  connection->timer.reset();
  Begin(connection, request);
}

bool OnceEndpoint::Refuse(const ConnectionPointer& connection,
                          const std::string& head) {
  const core::RequestId id(HeaderIn(head, "Request-Id"));
  record_->refusals.RecordArrival(id, address_, connection->number);
  if (behaviour_.copy_time == CopyTime::kAsRead) {
    WriteCopies(connection);
  } else if (behaviour_.copy_time == CopyTime::kAfter) {
    connection->copy_timer =
        loop_->NewTimer([this, weak = std::weak_ptr(connection)]() {
          if (const auto it = weak.lock()) {
            WriteCopies(it);
          }
        });
    connection->copy_timer->StartOnce(kCopyDelay);
  }
  const std::string expected = HeaderIn(head, "Expect-Instance");
  const bool is_overloaded =
      behaviour_.refused_share > 0 && random_.Unit() < behaviour_.refused_share;
  const bool is_misdirected =
      !is_overloaded && !expected.empty() && expected != id_;
  if (!is_overloaded && !is_misdirected) {
    return false;
  }
  const int status = is_misdirected ? kMisdirected : kOverloaded;
  record_->refusals.RecordRefusal(id, address_, connection->number,
                                  is_misdirected);
  Write(connection,
        Refusal(status, fmt::format("Request-Id: {}\r\n", id.value())));
  const bool is_copied = behaviour_.copy_time != CopyTime::kNever &&
                         (is_overloaded || behaviour_.copies_misdirected);
  if (is_copied) {
    connection->copies.push_back(Refusal(
        status, Replace(Replace(behaviour_.copy_ids, "{id}", id.value()),
                        "{old}", last_id_)));
  }
  if (behaviour_.copy_time == CopyTime::kBefore) {
    loop_->Post([this, weak = std::weak_ptr(connection)]() {
      if (const auto it = weak.lock()) {
        WriteCopies(it);
      }
    });
  }
  return true;
}

void OnceEndpoint::WriteCopies(const ConnectionPointer& connection) {
  if (connection->descriptor < 0) {
    return;
  }
  const std::vector<std::string> copies = std::exchange(connection->copies, {});
  record_->refusals.RecordCopies(copies.size());
  for (const std::string& it : copies) {
    Write(connection, it);
  }
}

void OnceEndpoint::Begin(const ConnectionPointer& connection,
                         const std::string& request) {
  const std::string id = HeaderIn(request, "Request-Id");
  const bool is_reused = connection->requests++ > 0;
  connection->work = std::make_shared<Work>(Work{.request = core::RequestId(id),
                                                 .endpoint = id_,
                                                 .began_at = loop_->Now(),
                                                 .ended_at = std::nullopt,
                                                 .woke_at = std::nullopt});
  record_->works.push_back(connection->work);
  connection->is_stream = !HeaderIn(request, "Prompt-Prefix").empty();
  connection->next_event =
      core::ParseNumber<uint64_t>(HeaderIn(request, "Last-Event-Id"))
          .value_or(0) +
      1;
  const bool is_affected = (is_reused || !behaviour_.is_for_reused) &&
                           random_.Unit() < behaviour_.share;
  if (!is_affected) {
    last_id_ = id;
    CallAfter(connection, kServiceTime, &OnceEndpoint::Serve);
    return;
  }
  ++record_->affected;
  Write(connection,
        Replace(Replace(behaviour_.text, "{id}", id), "{old}", last_id_));
  switch (behaviour_.then) {
    case Then::kServes:
      CallAfter(connection, kServiceTime, &OnceEndpoint::Serve);
      return;
    case Then::kWorksOn:
      CallAfter(connection, behaviour_.time, &OnceEndpoint::Serve);
      return;
    case Then::kIsDone:
      FinishWork(connection);
      return;
    case Then::kCloses:
      Close(connection, false);
      return;
    case Then::kResets:
      Close(connection, true);
      return;
    case Then::kStandsStill:
      connection->is_still = true;
      CallAfter(connection, behaviour_.time, &OnceEndpoint::Serve);
      return;
  }
}

void OnceEndpoint::Serve(const ConnectionPointer& connection) {
  if (std::exchange(connection->is_still, false)) {
    connection->work->woke_at = loop_->Now();
    // What has arrived meanwhile is read first.
    connection->watcher->SetInterest(true, false);
    CallAfter(connection, kServiceTime, &OnceEndpoint::Serve);
    return;
  }
  const std::string head = fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: s1\r\n{}",
      connection->work->request.value(), behaviour_.fields);
  if (!connection->is_stream) {
    Write(connection, head + "Content-Length: 2\r\n\r\nok");
    FinishWork(connection);
    return;
  }
  Write(connection, head +
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n");
  SendEvent(connection);
}

void OnceEndpoint::SendEvent(const ConnectionPointer& connection) {
  if (connection->work == nullptr) {
    return;
  }
  if (connection->next_event > kEvents) {
    Write(connection, "0\r\n\r\n");
    FinishWork(connection);
    return;
  }
  const std::string event =
      fmt::format("id: {}\ndata: x\n\n", connection->next_event++);
  Write(connection, fmt::format("{:x}\r\n{}\r\n", event.size(), event));
  CallAfter(connection, kEventTime, &OnceEndpoint::SendEvent);
}

void OnceEndpoint::FinishWork(const ConnectionPointer& connection) {
  if (connection->work == nullptr) {
    return;
  }
  connection->work->ended_at = loop_->Now();
  connection->work.reset();
  if (*behaviour_.late_text != '\0') {
    const std::string text = Replace(behaviour_.late_text, "{old}", last_id_);
    connection->late_timer =
        loop_->NewTimer([this, weak = std::weak_ptr(connection), text]() {
          const auto it = weak.lock();
          if (it != nullptr && it->descriptor >= 0) {
            ++record_->affected;
            Write(it, text);
          }
        });
    connection->late_timer->StartOnce(behaviour_.late_by);
  }
  if (behaviour_.max_idle > core::Duration::zero()) {
    connection->timer =
        loop_->NewTimer([this, weak = std::weak_ptr(connection)]() {
          const auto it = weak.lock();
          if (it != nullptr && it->descriptor >= 0 && it->work == nullptr) {
            ++record_->affected;
            Close(it, false);
          }
        });
    connection->timer->StartOnce(core::FromSeconds(
        core::ToSeconds(behaviour_.max_idle) * random_.Unit()));
  }
  loop_->Post([this, weak = std::weak_ptr(connection)]() {
    const auto it = weak.lock();
    if (it != nullptr && it->descriptor >= 0) {
      ReadRequests(it);
    }
  });
}

void OnceEndpoint::Write(const ConnectionPointer& connection,
                         const std::string& text) {
  if (connection->descriptor < 0 || text.empty()) {
    return;
  }
  const ssize_t n =
      send(connection->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
  if (IsError(n)) {
    Close(connection, false);
  }
}

void OnceEndpoint::Close(const ConnectionPointer& connection, bool resets) {
  if (connection->descriptor < 0) {
    return;
  }
  if (resets) {
    const linger option{.l_onoff = 1, .l_linger = 0};
    setsockopt(connection->descriptor, SOL_SOCKET, SO_LINGER, &option,
               sizeof(option));
  }
  connection->watcher.reset();
  close(connection->descriptor);
  connection->descriptor = -1;
  if (connection->work != nullptr) {
    connection->work->ended_at = loop_->Now();
    connection->work.reset();
  }
  connections_.erase(connection);
  // One of its timers may be running now.
  loop_->Post([self = connection]() {});
}

void OnceEndpoint::CallAfter(
    const ConnectionPointer& connection,
    core::Duration delay,
    void (OnceEndpoint::*method)(const ConnectionPointer&)) {
  if (connection->descriptor < 0) {
    return;
  }
  // The previous timer may be running now.
  loop_->Post([released = std::make_shared<std::unique_ptr<core::Timer>>(
                   std::move(connection->timer))]() {});
  connection->timer =
      loop_->NewTimer([this, weak = std::weak_ptr(connection), method]() {
        const auto it = weak.lock();
        if (it != nullptr && it->descriptor >= 0 && it->work != nullptr) {
          (this->*method)(it);
        }
      });
  connection->timer->StartOnce(delay);
}

}  // namespace wasabi::once
