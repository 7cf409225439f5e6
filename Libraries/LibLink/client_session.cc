#include "LibLink/client_session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::link {

class ClientSession::ClientCall final : public OutboundCall {
 public:
  ClientCall(std::weak_ptr<ClientSession> session,
             std::string request,
             CallHandlers handlers,
             size_t max_message_bytes)
      : session_(std::move(session)),
        request_(std::move(request)),
        handlers_(std::make_shared<CallHandlers>(std::move(handlers))),
        messages_(max_message_bytes) {}

  void set_stream(int32_t stream) { stream_ = stream; }
  // True if the complete request may have reached the peer.
  bool request_sent() const { return request_sent_; }
  StatusReader& status() { return status_; }

  void Cancel() override {
    const std::shared_ptr<ClientSession> session = session_.lock();
    handlers_.reset();
    if (session != nullptr) {
      session->CancelCall(stream_);
    }
  }

  // Processes response bytes. Returns false if a message exceeds the limit.
  bool OnData(std::string_view bytes) {
    // The copy keeps the handler alive if it cancels its own call.
    const std::shared_ptr<CallHandlers> handlers = handlers_;
    return messages_.Feed(bytes, [&](std::string_view message) {
      if (handlers_ != nullptr) {
        handlers->on_message(message);
      }
    });
  }

  // True if the response has a status and no partially received message.
  bool IsWhole() const {
    return status_.has_status() && messages_.AtBoundary();
  }

  // Copies the next bytes of the request to `buf`.
  ssize_t ReadRequest(uint8_t* buf, size_t length, uint32_t* flags) {
    const size_t n = std::min(length, request_.size() - request_offset_);
    std::memcpy(buf, request_.data() + request_offset_, n);
    request_offset_ += n;
    if (request_offset_ == request_.size()) {
      request_sent_ = true;
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(n);
  }

  void Finish(const absl::Status& status) {
    const auto handlers = std::exchange(handlers_, nullptr);
    if (handlers != nullptr) {
      handlers->on_done(status);
    }
  }

 private:
  const std::weak_ptr<ClientSession> session_;
  const std::string request_;
  // Null once the call is cancelled or finished.
  std::shared_ptr<CallHandlers> handlers_;
  int32_t stream_ = 0;
  size_t request_offset_ = 0;
  bool request_sent_ = false;
  MessageReader messages_;
  StatusReader status_;
};

namespace {

// Returns a socket that is bound to the IP address of `local`, or -1 and sets
// errno.
int NewSocket(const core::SocketAddress& local) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return -1;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
  sockaddr_in native = local.ToNative();
  native.sin_port = 0;
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&native),
           sizeof(native)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

}  // namespace

ClientSession::ClientSession(std::shared_ptr<LinkContext> context,
                             const core::SocketAddress& peer)
    : Session(std::move(context), peer) {}

std::shared_ptr<ClientSession> ClientSession::Connect(
    std::shared_ptr<LinkContext> context,
    const core::SocketAddress& peer) {
  std::shared_ptr<ClientSession> session(
      new ClientSession(std::move(context), peer));
  session->StartConnecting();
  session->StartHttp2(/*as_server=*/false);
  return session;
}

void ClientSession::StartConnecting() {
  const int descriptor = NewSocket(context().options.listen_address);
  if (descriptor < 0) {
    FailLater(std::strerror(errno));
    return;
  }
  const sockaddr_in native = peer().ToNative();
  const int result = connect(
      descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof(native));
  if (result != 0 && errno != EINPROGRESS) {
    FailLater(std::strerror(errno));
    close(descriptor);
    return;
  }
  Attach(descriptor, /*connecting=*/true);
}

bool ClientSession::CanTakeCalls() {
  return !closed() && !refusal_ &&
         nghttp2_session_check_request_allowed(http2()) != 0;
}

std::shared_ptr<OutboundCall> ClientSession::Call(CallKind kind,
                                                  std::string request,
                                                  CallHandlers handlers) {
  const LinkOptions& options = context().options;
  auto call = std::make_shared<ClientCall>(
      std::static_pointer_cast<ClientSession>(shared_from_this()),
      std::move(request), std::move(handlers), options.max_message_bytes);
  const std::vector<HeaderField> fields = {
      {":method", "POST"},
      {":scheme", "http"},
      {":authority", peer().ToString()},
      {std::string(kPathHeader), PathOf(kind)},
      {std::string(kVersionHeader), std::to_string(options.protocol_version)},
      {std::string(kLamportHeader), std::to_string(context().StampOutgoing())}};
  const std::vector<nghttp2_nv> native = ToNative(fields);
  nghttp2_data_provider body{};
  body.read_callback = ReadBodyCallback;
  const int32_t stream = nghttp2_submit_request(http2(), nullptr, native.data(),
                                                native.size(), &body, nullptr);
  if (stream < 0) {
    context().loop->Post([call, stream] {
      call->Finish(core::MakeStatus(core::ResultCode::kPeerUnreachable,
                                    nghttp2_strerror(stream)));
    });
    return call;
  }
  call->set_stream(stream);
  calls_.emplace(stream, call);
  ScheduleFlush();
  return call;
}

std::shared_ptr<ClientSession::ClientCall> ClientSession::Find(
    int32_t stream) const {
  const auto it = calls_.find(stream);
  return it == calls_.end() ? nullptr : it->second;
}

void ClientSession::FinishCall(int32_t stream, const absl::Status& status) {
  const std::shared_ptr<ClientCall> call = Find(stream);
  if (call != nullptr) {
    calls_.erase(stream);
    call->Finish(status);
  }
}

void ClientSession::CancelCall(int32_t stream) {
  if (calls_.erase(stream) > 0) {
    nghttp2_submit_rst_stream(http2(), NGHTTP2_FLAG_NONE, stream,
                              NGHTTP2_CANCEL);
    ScheduleFlush();
  }
}

absl::Status ClientSession::ConnectionLostStatus(
    const ClientCall& call,
    std::string_view reason) const {
  if (refusal_) {
    return *refusal_;
  }
  const core::ResultCode code = call.request_sent()
                                    ? core::ResultCode::kPeerSilent
                                    : core::ResultCode::kPeerUnreachable;
  return core::MakeStatus(
      code, fmt::format("connection to {}: {}", peer().ToString(), reason));
}

void ClientSession::OnHeader(int32_t stream,
                             std::string_view name,
                             std::string_view value) {
  if (name == kLamportHeader) {
    context().ObserveIncoming(value);
    return;
  }
  if (const std::shared_ptr<ClientCall> call = Find(stream)) {
    call->status().AddField(name, value);
  }
}

void ClientSession::OnData(int32_t stream, std::string_view bytes) {
  const std::shared_ptr<ClientCall> call = Find(stream);
  if (call != nullptr && !call->OnData(bytes)) {
    nghttp2_submit_rst_stream(http2(), NGHTTP2_FLAG_NONE, stream,
                              NGHTTP2_CANCEL);
    FinishCall(stream, core::MakeStatus(core::ResultCode::kMalformedMessage,
                                        "a response message is too large"));
  }
}

void ClientSession::OnStreamClosed(int32_t stream, uint32_t error_code) {
  const std::shared_ptr<ClientCall> call = Find(stream);
  if (call == nullptr) {
    return;
  }
  if (error_code == NGHTTP2_REFUSED_STREAM) {
    FinishCall(stream, refusal_.value_or(core::MakeStatus(
                           core::ResultCode::kPeerUnreachable,
                           fmt::format("{} accepts no new calls on this "
                                       "connection",
                                       peer().ToString()))));
    return;
  }
  if (error_code != NGHTTP2_NO_ERROR) {
    FinishCall(stream,
               core::MakeStatus(core::ResultCode::kPeerSilent,
                                "the peer reset the stream of the call"));
    return;
  }
  FinishCall(
      stream,
      call->IsWhole()
          ? call->status().Status()
          : core::MakeStatus(
                core::ResultCode::kMalformedMessage,
                "the response ended without a status or within a message"));
}

void ClientSession::OnGoAway(std::string_view debug_data) {
  StatusReader reader;
  reader.AddField(kCodeTrailer, debug_data);
  const absl::Status status = reader.Status();
  if (core::CodeOf(status) == core::ResultCode::kUnknownSender) {
    refusal_ =
        core::MakeStatus(core::ResultCode::kUnknownSender,
                         fmt::format("{} refused this host as an unknown peer",
                                     peer().ToString()));
  }
}

ssize_t ClientSession::OnReadBody(int32_t stream,
                                  uint8_t* buf,
                                  size_t length,
                                  uint32_t* flags) {
  const std::shared_ptr<ClientCall> call = Find(stream);
  if (call == nullptr) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  return call->ReadRequest(buf, length, flags);
}

void ClientSession::OnClosed(std::string_view reason) {
  const auto calls = std::exchange(calls_, {});
  for (const auto& [stream, call] : calls) {
    call->Finish(ConnectionLostStatus(*call, reason));
  }
}

void ClientSession::OnIdleTick() {
  const LinkOptions& options = context().options;
  ++idle_ticks_;
  if (HasCalls() || connecting()) {
    idle_ticks_ = 0;
  } else if (idle_ticks_ * options.ping_interval > options.idle_timeout) {
    Close("idle");
  }
}

}  // namespace wasabi::link
