#include "LibHttp/request_connection.h"

#include <utility>

#include "LibCore/text.h"

namespace wasabi::http {

namespace {

// Pipelined bytes that are buffered while a response is pending. Beyond this,
// reading is paused.
constexpr size_t kMaxPipelinedBytes = 64U << 10U;
// A closing connection keeps reading for this long, whether or not the client
// still sends. Closing a socket with
// unread bytes would reset the connection and could destroy the last response
// before the client has read it.
constexpr core::Duration kLingerTime = core::seconds(1);
// Time that a connection has for its first request while the server stops. The
// client may have connected just before.
constexpr core::Duration kFirstRequestTime = core::milliseconds(500);
constexpr int kUnavailableStatus = 503;

constexpr int StatusOf(ParseResult result) {
  switch (result) {
    case ParseResult::kHeaderTooLarge:
      return 431;
    case ParseResult::kBodyTooLarge:
      return 413;
    default:
      return 400;
  }
}

}  // namespace

RequestConnection::RequestConnection(core::EventLoop* loop,
                                     std::shared_ptr<TcpStream> stream,
                                     const CallerLimits& limits,
                                     std::shared_ptr<BufferMemory> memory,
                                     Callbacks callbacks)
    : loop_(loop),
      stream_(std::move(stream)),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      held_(memory),
      accepted_at_(loop->Now()),
      last_byte_at_(accepted_at_),
      request_started_at_(last_byte_at_) {
  stream_->SetMemory(std::move(memory));
}

void RequestConnection::Start() {
  NewParser();
  const auto weak = weak_from_this();
  TcpStream::Callbacks callbacks;
  callbacks.on_data = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->OnData(bytes);
    }
  };
  callbacks.on_end = [weak](TcpStream::End /*end*/) {
    if (const auto self = weak.lock()) {
      self->OnEnd();
    }
  };
  callbacks.on_drained = [weak]() {
    const auto self = weak.lock();
    if (self != nullptr && self->transaction_ != nullptr &&
        self->transaction_->on_drained_) {
      self->transaction_->on_drained_();
    }
  };
  stream_->Start(std::move(callbacks));
  // A client that reads slowly is no reason to cut its response.
  stream_->SetMaxStall(limits_.idle_timeout);
}

void RequestConnection::CheckTimeouts(core::TimePoint now) {
  if (is_answering()) {
    return;
  }
  if (is_closing_) {
    CheckClosing(now);
    return;
  }
  if (closes_when_idle_ && IsIdle() &&
      (has_had_request_ || now - accepted_at_ > kFirstRequestTime)) {
    CloseGracefully();
    return;
  }
  const bool is_header_overdue =
      parser_->has_started() && !has_head_ &&
      now - request_started_at_ > limits_.header_timeout;
  if (is_header_overdue || now - last_byte_at_ > limits_.idle_timeout) {
    Close();
  }
}

void RequestConnection::CheckClosing(core::TimePoint now) {
  const size_t unsent = unsent_bytes();
  if (unsent != std::exchange(unsent_at_check_, unsent)) {
    closing_since_ = now;
  }
  const core::Duration limit = unsent > 0 ? limits_.idle_timeout : kLingerTime;
  if (now - closing_since_ > limit) {
    Close();
  }
}

bool RequestConnection::IsIdle() const {
  return !is_answering() && input_.empty() && !parser_->has_started();
}

void RequestConnection::CloseWhenIdle() {
  closes_when_idle_ = true;
  const auto self = shared_from_this();
  // A request that has arrived already is still processed.
  stream_->ReadNow();
  if (is_open()) {
    CheckTimeouts(loop_->Now());
  }
}

void RequestConnection::RefuseUnread() {
  if (!is_closing_ && !is_answering() && !IsIdle()) {
    Reject(kUnavailableStatus);
  }
}

void RequestConnection::Send(std::string_view bytes) {
  stream_->Write(bytes);
}

void RequestConnection::OnAnswered() {
  transaction_.reset();
  RecordHeldBytes();
  last_byte_at_ = loop_->Now();
  if (closes_after_current_) {
    CloseGracefully();
    return;
  }
  NewParser();
  stream_->SetReading(true);
  if (input_.empty()) {
    return;
  }
  loop_->Post([weak = weak_from_this()]() {
    if (const auto self = weak.lock()) {
      self->Parse();
    }
  });
}

void RequestConnection::AbortResponse() {
  // Buffered bytes are still sent, but the body remains incomplete.
  transaction_.reset();
  CloseGracefully();
}

void RequestConnection::ResetResponse() {
  const auto self = shared_from_this();
  transaction_.reset();
  stream_->Abort();
  if (callbacks_.on_closed) {
    callbacks_.on_closed(this);
  }
}

std::shared_ptr<TcpStream> RequestConnection::Release() {
  const auto self = shared_from_this();
  is_closing_ = true;
  transaction_.reset();
  TcpStream::Callbacks callbacks;
  callbacks.on_data = [](std::string_view /*bytes*/) {};
  stream_->SetCallbacks(std::move(callbacks));
  if (callbacks_.on_closed) {
    callbacks_.on_closed(this);
  }
  return stream_;
}

void RequestConnection::OnData(std::string_view bytes) {
  last_byte_at_ = loop_->Now();
  if (is_closing_) {
    return;
  }
  const auto self = shared_from_this();
  input_.append(bytes);
  if (!is_answering()) {
    Parse();
  } else if (input_.size() > held_.Limit(kMaxPipelinedBytes)) {
    stream_->SetReading(false);
  }
  RecordHeldBytes();
}

void RequestConnection::RecordHeldBytes() {
  ReleaseIfEmpty(&input_);
  const std::string& body =
      transaction_ == nullptr ? request_.body : transaction_->request().body;
  held_.Set(input_.capacity() + body.capacity());
}

void RequestConnection::OnEnd() {
  Close();
}

void RequestConnection::NewParser() {
  has_head_ = false;
  request_ = InboundRequest();
  MessageParser::Callbacks callbacks;
  callbacks.on_head = [this](MessageHead head) { OnHead(std::move(head)); };
  callbacks.on_body = [this](std::string_view piece) {
    request_.body.append(piece);
  };
  parser_ = std::make_unique<MessageParser>(
      MessageKind::kRequest, limits_.parser, std::move(callbacks));
}

void RequestConnection::Parse() {
  if (is_closing_ || is_answering() || input_.empty()) {
    return;
  }
  if (!parser_->has_started()) {
    request_started_at_ = loop_->Now();
  }
  const ParseResult result = parser_->Feed(&input_);
  RecordHeldBytes();
  if (result == ParseResult::kComplete) {
    StartTransaction();
  } else if (result != ParseResult::kNeedMore) {
    Reject(StatusOf(result));
  } else if (has_head_ && held_.IsExhausted()) {
    Reject(kUnavailableStatus);
  }
}

void RequestConnection::OnHead(MessageHead head) {
  has_head_ = true;
  is_keep_alive_ = head.is_keep_alive;
  request_.method = std::move(head.method);
  request_.target = std::move(head.target);
  request_.headers = std::move(head.headers);
  request_.is_http_1_0 = head.is_http_1_0;
  if (!request_.is_http_1_0 &&
      core::ToLower(request_.headers.Get("Expect")) == "100-continue") {
    stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void RequestConnection::StartTransaction() {
  request_.received_at = loop_->Now();
  has_had_request_ = true;
  transaction_ =
      std::make_shared<Transaction>(weak_from_this(), std::move(request_));
  const auto self = shared_from_this();
  callbacks_.on_request(transaction_);
}

void RequestConnection::Reject(int status) {
  if (callbacks_.on_rejected) {
    callbacks_.on_rejected(status, request_);
  }
  stream_->Write(
      fmt::format("HTTP/1.1 {} Rejected\r\nContent-Length: 0\r\nConnection: "
                  "close\r\n\r\n",
                  status));
  CloseGracefully();
}

void RequestConnection::CloseGracefully() {
  is_closing_ = true;
  closing_since_ = loop_->Now();
  unsent_at_check_ = unsent_bytes();
  input_.clear();
  request_.body = {};
  RecordHeldBytes();
  stream_->ShutDownWriting();
  stream_->SetReading(true);
}

void RequestConnection::Close() {
  if (!stream_->is_open()) {
    return;
  }
  const auto self = shared_from_this();
  stream_->Close();
  const auto transaction = std::exchange(transaction_, nullptr);
  if (transaction != nullptr && transaction->on_client_disconnected_) {
    const auto callback =
        std::exchange(transaction->on_client_disconnected_, nullptr);
    callback();
  }
  if (callbacks_.on_closed) {
    callbacks_.on_closed(this);
  }
}

}  // namespace wasabi::http
