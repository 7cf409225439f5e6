#include "LibLink/server_session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <utility>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::link {

class ServerSession::ServerCall final
    : public InboundCall,
      public std::enable_shared_from_this<ServerCall> {
 public:
  ServerCall(std::weak_ptr<ServerSession> session,
             int32_t stream,
             const core::SocketAddress& peer)
      : session_(std::move(session)), stream_(stream), peer_(peer) {}

  CallKind kind() const override { return kind_; }
  const std::string& request() const override { return request_; }
  core::SocketAddress peer() const override { return peer_; }
  void Send(std::string_view message) override;
  void Finish(const absl::Status& status) override;
  void OnCancelled(std::function<void()> callback) override;

  void OnHeader(std::string_view name, std::string_view value);
  // Appends `bytes` to the request. A request that exceeds `limit` bytes is
  // discarded and marked as too large.
  void OnData(std::string_view bytes, size_t limit);
  // Checks the protocol version, the size and the kind of the request.
  absl::Status Check(uint32_t protocol_version) const;
  // Copies the next response bytes to `buf`; see Session::OnReadBody.
  ssize_t ReadAnswer(uint8_t* buf, size_t length, uint32_t* flags);
  // Called when the stream is closed. Runs the cancellation callback unless the
  // call is finished.
  void OnStreamClosed();

 private:
  // Sends the response headers on the first call, and afterwards resumes a
  // stream that is waiting for data.
  void WakeStream(ServerSession& session);
  // Submits the final status. Called at the end of the response body.
  void SubmitTrailers(ServerSession& session);

  const std::weak_ptr<ServerSession> session_;
  const int32_t stream_;
  const core::SocketAddress peer_;
  CallKind kind_ = kFirstCallKind;
  std::optional<CallKind> path_kind_;
  uint32_t version_ = 0;
  std::string request_;
  bool too_large_ = false;
  // Framed response messages. nghttp2 has consumed the bytes before
  // `answer_offset_`.
  std::string answer_;
  size_t answer_offset_ = 0;
  std::vector<HeaderField> trailers_;
  bool started_ = false;
  // True while nghttp2 waits for nghttp2_session_resume_data.
  bool deferred_ = false;
  bool finished_ = false;
  bool closed_ = false;
  std::function<void()> on_cancelled_;
};

void ServerSession::ServerCall::Send(std::string_view message) {
  const std::shared_ptr<ServerSession> session = session_.lock();
  if (session == nullptr || closed_ || finished_) {
    return;
  }
  if (message.size() > session->context().options.max_message_bytes) {
    Finish(core::MakeStatus(core::ResultCode::kMalformedMessage,
                            "a response message is too large"));
    return;
  }
  AppendFramed(message, &answer_);
  WakeStream(*session);
}

void ServerSession::ServerCall::Finish(const absl::Status& status) {
  const std::shared_ptr<ServerSession> session = session_.lock();
  if (session == nullptr || closed_ || std::exchange(finished_, true)) {
    return;
  }
  on_cancelled_ = nullptr;
  trailers_ = StatusToTrailers(status);
  WakeStream(*session);
}

void ServerSession::ServerCall::OnCancelled(std::function<void()> callback) {
  const std::shared_ptr<ServerSession> session = session_.lock();
  if (finished_) {
    return;
  }
  if (closed_ && session != nullptr) {
    session->context().loop->Post(std::move(callback));
    return;
  }
  on_cancelled_ = std::move(callback);
}

void ServerSession::ServerCall::WakeStream(ServerSession& session) {
  if (!std::exchange(started_, true)) {
    const std::vector<HeaderField> fields = {
        {":status", "200"},
        {std::string(kLamportHeader),
         std::to_string(session.context().StampOutgoing())}};
    const std::vector<nghttp2_nv> native = ToNative(fields);
    nghttp2_data_provider body{};
    body.read_callback = ReadBodyCallback;
    nghttp2_submit_response(session.http2(), stream_, native.data(),
                            native.size(), &body);
  } else if (std::exchange(deferred_, false)) {
    nghttp2_session_resume_data(session.http2(), stream_);
  }
  session.ScheduleFlush();
}

void ServerSession::ServerCall::SubmitTrailers(ServerSession& session) {
  trailers_.push_back({std::string(kLamportHeader),
                       std::to_string(session.context().StampOutgoing())});
  const std::vector<nghttp2_nv> native = ToNative(trailers_);
  nghttp2_submit_trailer(session.http2(), stream_, native.data(),
                         native.size());
}

void ServerSession::ServerCall::OnHeader(std::string_view name,
                                         std::string_view value) {
  if (name == kPathHeader) {
    path_kind_ = KindOf(value);
    kind_ = path_kind_.value_or(kFirstCallKind);
  } else if (name == kVersionHeader) {
    version_ = core::ParseNumber<uint32_t>(value).value_or(0);
  }
}

void ServerSession::ServerCall::OnData(std::string_view bytes, size_t limit) {
  if (request_.size() + bytes.size() > limit) {
    too_large_ = true;
    request_.clear();
  }
  if (!too_large_) {
    request_.append(bytes);
  }
}

absl::Status ServerSession::ServerCall::Check(uint32_t protocol_version) const {
  if (version_ != protocol_version) {
    return core::MakeStatus(
        core::ResultCode::kVersionMismatch,
        fmt::format("this host supports protocol version {}, the call uses {}",
                    protocol_version, version_));
  }
  if (too_large_) {
    return core::MakeStatus(core::ResultCode::kMalformedMessage,
                            "the request message is too large");
  }
  if (!path_kind_) {
    return core::MakeStatus(core::ResultCode::kMalformedMessage,
                            "unknown call kind in the request path");
  }
  return absl::OkStatus();
}

ssize_t ServerSession::ServerCall::ReadAnswer(uint8_t* buf,
                                              size_t length,
                                              uint32_t* flags) {
  const std::shared_ptr<ServerSession> session = session_.lock();
  const size_t n = std::min(length, answer_.size() - answer_offset_);
  std::memcpy(buf, answer_.data() + answer_offset_, n);
  answer_offset_ += n;
  if (answer_offset_ < answer_.size()) {
    return static_cast<ssize_t>(n);
  }
  answer_.clear();
  answer_offset_ = 0;
  if (finished_) {
    *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
    SubmitTrailers(*session);
    return static_cast<ssize_t>(n);
  }
  if (n == 0) {
    deferred_ = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(n);
}

void ServerSession::ServerCall::OnStreamClosed() {
  closed_ = true;
  if (finished_) {
    return;
  }
  if (const auto callback = std::exchange(on_cancelled_, nullptr)) {
    callback();
  }
}

ServerSession::ServerSession(std::shared_ptr<LinkContext> context,
                             const core::SocketAddress& peer)
    : Session(std::move(context), peer) {}

std::shared_ptr<ServerSession> ServerSession::Start(
    std::shared_ptr<LinkContext> context,
    int descriptor,
    const core::SocketAddress& peer) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::shared_ptr<ServerSession> session(
      new ServerSession(std::move(context), peer));
  session->Attach(descriptor, /*connecting=*/false);
  session->StartHttp2(/*as_server=*/true);
  if (!session->context().peer_check(peer.ip())) {
    session->Refuse();
  }
  return session;
}

void ServerSession::Refuse() {
  refused_ = true;
  Linger();
  const std::string code =
      std::to_string(static_cast<int>(core::ResultCode::kUnknownSender));
  nghttp2_submit_goaway(http2(), NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR,
                        reinterpret_cast<const uint8_t*>(code.data()),
                        code.size());
  ScheduleFlush();
}

void ServerSession::StopAccepting() {
  nghttp2_submit_goaway(http2(), NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(http2()),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  ScheduleFlush();
}

void ServerSession::Dispatch(const std::shared_ptr<ServerCall>& call) {
  const absl::Status status = call->Check(context().options.protocol_version);
  if (!status.ok()) {
    call->Finish(status);
    return;
  }
  context().inbound_handler(call);
}

void ServerSession::OnBytes(std::string_view bytes) {
  if (!refused_) {
    Session::OnBytes(bytes);
  }
}

void ServerSession::OnHeader(int32_t stream,
                             std::string_view name,
                             std::string_view value) {
  if (name == kLamportHeader) {
    context().ObserveIncoming(value);
    return;
  }
  const auto it = calls_.find(stream);
  if (it != calls_.end()) {
    it->second->OnHeader(name, value);
  }
}

void ServerSession::OnStreamStarted(int32_t stream) {
  calls_.emplace(
      stream, std::make_shared<ServerCall>(
                  std::static_pointer_cast<ServerSession>(shared_from_this()),
                  stream, peer()));
}

void ServerSession::OnData(int32_t stream, std::string_view bytes) {
  const auto it = calls_.find(stream);
  if (it != calls_.end()) {
    it->second->OnData(bytes, context().options.max_message_bytes);
  }
}

void ServerSession::OnEndOfStream(int32_t stream) {
  const auto it = calls_.find(stream);
  if (it != calls_.end()) {
    // A copy, because the handler may close the session and so clear `calls_`.
    const std::shared_ptr<ServerCall> call = it->second;
    Dispatch(call);
  }
}

void ServerSession::OnStreamClosed(int32_t stream, uint32_t) {
  const auto it = calls_.find(stream);
  if (it != calls_.end()) {
    const std::shared_ptr<ServerCall> call = std::move(it->second);
    calls_.erase(it);
    call->OnStreamClosed();
  }
}

ssize_t ServerSession::OnReadBody(int32_t stream,
                                  uint8_t* buf,
                                  size_t length,
                                  uint32_t* flags) {
  const auto it = calls_.find(stream);
  if (it == calls_.end()) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  return it->second->ReadAnswer(buf, length, flags);
}

void ServerSession::OnClosed(std::string_view) {
  const auto calls = std::exchange(calls_, {});
  for (const auto& [stream, call] : calls) {
    call->OnStreamClosed();
  }
}

}  // namespace wasabi::link
