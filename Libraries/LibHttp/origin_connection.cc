#include "LibHttp/origin_connection.h"

#include <algorithm>
#include <utility>

#include "LibCore/text.h"
#include "LibHttp/origin_send.h"
#include "LibHttp/tunnel.h"

namespace wasabi::http {

namespace {

// Used if the endpoint doesn't announce an idle timeout.
constexpr core::Duration kDefaultIdleTimeout = core::seconds(4);
// Fraction of the announced idle timeout that is used. The endpoint starts its
// timer earlier, when it sends the last byte.
constexpr double kIdleTimeoutFraction = 0.8;
// With more responses that belong to other requests, the connection counts as
// desynchronised.
constexpr int kMaxSkippedResponses = 4;
// Limits of what may precede the expected response. An endpoint could otherwise
// send such bytes without end.
constexpr uint64_t kMaxSkippedBytes = 256U << 10U;
constexpr int kMaxInterimResponses = 16;
constexpr uint32_t kMaxHeaderBytes = 64U << 10U;
constexpr uint64_t kMaxResponseBytes = 1U << 30U;

// Returns the idle timeout that the Keep-Alive header announces, multiplied by
// kIdleTimeoutFraction, or kDefaultIdleTimeout if there is none.
core::Duration ParseIdleTimeout(const Headers& headers) {
  const std::string text = core::ToLower(headers.Get("Keep-Alive"));
  constexpr std::string_view kTimeout = "timeout=";
  const size_t position = text.find(kTimeout);
  if (position == std::string::npos) {
    return kDefaultIdleTimeout;
  }
  const size_t start = position + kTimeout.size();
  const size_t end = text.find_first_not_of("0123456789", start);
  const auto seconds = core::ParseNumber<int>(std::string_view(text).substr(
      start, end == std::string::npos ? std::string::npos : end - start));
  return seconds ? core::FromSeconds(*seconds * kIdleTimeoutFraction)
                 : kDefaultIdleTimeout;
}

OriginOutcome OutcomeOf(ParseResult error) {
  const bool is_oversized = error == ParseResult::kHeaderTooLarge ||
                            error == ParseResult::kBodyTooLarge;
  return is_oversized ? OriginOutcome::kOversized : OriginOutcome::kMalformed;
}

std::string Serialise(const OriginRequest& request) {
  std::string text =
      fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
  for (const Headers::Field& field : request.headers.fields()) {
    text.append(field.first).append(": ").append(field.second).append("\r\n");
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    text.append(fmt::format("Content-Length: {}\r\n", request.body.size()));
  }
  text.append("\r\n").append(request.body);
  return text;
}

}  // namespace

OriginConnection::OriginConnection(core::EventLoop* loop,
                                   std::weak_ptr<OriginClient*> client,
                                   core::SocketAddress address,
                                   std::shared_ptr<BufferMemory> memory,
                                   uint64_t number)
    : loop_(loop),
      client_(std::move(client)),
      address_(address),
      memory_(std::move(memory)),
      held_(memory_),
      use_{.connection = number} {}

std::shared_ptr<OriginSend> OriginConnection::Start(
    const OriginRequest& request,
    SendPermit permit,
    OriginCallbacks callbacks) {
  auto send = std::make_shared<OriginSend>(shared_from_this());
  send_ = send;
  permit_ = std::move(permit);
  callbacks_ = std::move(callbacks);
  is_active_ = true;
  self_ = shared_from_this();
  is_head_request_ = request.method == "HEAD";
  is_tunnel_ = request.tunnel.has_value();
  is_pooled_ = IsPooled(request);
  interim_responses_ = 0;
  skipped_bytes_ = 0;
  ++use_.call;
  use_.skipped_responses = 0;
  use_.sends_of_id = sends_.sends_of_latest_id();
  NewParser();
  if (stream_ == nullptr) {
    Connect(request);
  }
  if (stream_ != nullptr) {
    WriteOrWait(request);
  }
  return send;
}

void OriginConnection::WriteOrWait(const OriginRequest& request) {
  unsent_request_ = Serialise(request);
  CheckHeldBytes();
  if (is_tunnel_) {
    stream_->Write(
        EncodeTunnelRequest(request.tunnel->endpoint_hash, request.id));
  } else if (is_connected_) {
    SendRequest();
  }
}

void OriginConnection::SendRequest() {
  use_.waiting_bytes = stream_->readable_bytes();
  if (callbacks_.may_send && !callbacks_.may_send(use())) {
    unsent_request_ = {};
    loop_->Post([self = shared_from_this()]() {
      self->Finish(OriginOutcome::kWithheld);
    });
    return;
  }
  Write(std::exchange(unsent_request_, {}),
        *std::exchange(permit_, std::nullopt));
}

void OriginConnection::Write(std::string_view request, SendPermit /*permit*/) {
  stream_->Write(request);
}

void OriginConnection::Connect(const OriginRequest& request) {
  const OriginOutcome failure =
      is_tunnel_ ? OriginOutcome::kCarrierUnavailable : OriginOutcome::kNotSent;
  auto stream = TcpStream::Connect(
      loop_, is_tunnel_ ? request.tunnel->carrier : address_);
  if (!stream.ok()) {
    loop_->Post([self = shared_from_this(), failure]() {
      self->NoteRefused();
      self->Finish(failure);
    });
    return;
  }
  stream_ = *std::move(stream);
  stream_->SetMemory(memory_);
  const auto weak = weak_from_this();
  TcpStream::Callbacks callbacks;
  callbacks.on_connected = [weak]() {
    const auto self = weak.lock();
    if (self != nullptr && !self->is_tunnel_) {
      self->OnConnected();
      self->SendRequest();
    }
  };
  callbacks.on_data = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->OnData(bytes);
    }
  };
  callbacks.on_end = [weak](TcpStream::End end) {
    if (const auto self = weak.lock()) {
      self->OnStreamEnd(end);
    }
  };
  stream_->Start(std::move(callbacks));
  connect_timer_ = loop_->NewTimer([weak, failure]() {
    if (const auto self = weak.lock()) {
      self->NoteRefused();
      self->Finish(failure);
    }
  });
  connect_timer_->StartOnce(request.connect_timeout);
}

void OriginConnection::OnConnected() {
  is_connected_ = true;
  connect_timer_.reset();
  const auto client = client_.lock();
  if (client != nullptr && !is_tunnel_) {
    connected_at_ = loop_->Now();
    (*client)->NoteConnected(address_, *connected_at_);
  }
}

void OriginConnection::NoteClosed() {
  const auto client = client_.lock();
  if (client != nullptr && connected_at_) {
    (*client)->NoteClosed(address_, *connected_at_);
  }
  connected_at_.reset();
}

void OriginConnection::NoteBroken() {
  const auto client = client_.lock();
  const bool was_open = connected_at_.has_value();
  NoteClosed();
  if (client != nullptr && was_open) {
    (*client)->NoteBroken(address_);
  }
}

void OriginConnection::NoteRefused() {
  const auto client = client_.lock();
  if (client != nullptr && !is_tunnel_) {
    (*client)->NoteRefused(address_);
  }
}

void OriginConnection::OnTunnelReply() {
  const auto reply = TakeTunnelReply(&input_);
  if (!reply) {
    return;
  }
  switch (*reply) {
    case TunnelReply::kOpenFramed:
      frames_.emplace();
      OnTunnelOpen();
      return;
    case TunnelReply::kOpen:
      OnTunnelOpen();
      return;
    case TunnelReply::kEndpointUnreachable:
      Finish(OriginOutcome::kNotSent);
      return;
    case TunnelReply::kEndpointUnavailable:
      Finish(OriginOutcome::kEndpointUnavailable);
      return;
    case TunnelReply::kCarrierUnavailable:
      Finish(OriginOutcome::kCarrierUnavailable);
      return;
  }
}

void OriginConnection::OnTunnelOpen() {
  OnConnected();
  SendRequest();
  // What follows the reply is the endpoint's.
  const std::string rest = std::exchange(input_, {});
  Receive(rest);
}

void OriginConnection::Close() {
  const auto self = shared_from_this();
  Release();
  if (stream_ != nullptr) {
    stream_->Close();
  }
}

void OriginConnection::Reset() {
  const auto self = shared_from_this();
  Release();
  if (stream_ != nullptr) {
    stream_->Abort();
  }
}

void OriginConnection::EndSend() {
  if (const auto send = send_.lock()) {
    send->End();
  }
  send_.reset();
}

void OriginConnection::Release() {
  EndSend();
  self_.reset();
  is_active_ = false;
  callbacks_ = {};
  connect_timer_.reset();
  NoteClosed();
  // The parser may be reading the input now.
  held_.Set(0);
}

void OriginConnection::Cancel() {
  if (!is_active_) {
    return;
  }
  const auto self = shared_from_this();
  // The callbacks may be running now.
  loop_->Post([released = std::make_shared<OriginCallbacks>(
                   std::move(callbacks_))]() {});
  Reset();
}

void OriginConnection::SetReading(bool is_reading) {
  if (is_active_ && stream_ != nullptr && is_connected_) {
    stream_->SetReading(is_reading);
  }
}

bool OriginConnection::IsUsable(core::TimePoint now,
                                core::Duration max_idle) const {
  const core::Duration idle = now - idle_since_;
  return stream_->is_open() && idle < std::min(idle_timeout_, max_idle);
}

void OriginConnection::NewParser() {
  is_skipping_ = false;
  is_interim_ = false;
  MessageParser::Callbacks callbacks;
  callbacks.on_head = [this](const MessageHead& head) { OnHead(head); };
  callbacks.on_body = [this](std::string_view piece) {
    if (is_skipping_) {
      skipped_bytes_ += piece.size();
    } else if (callbacks_.on_body) {
      callbacks_.on_body(piece);
    }
  };
  ParserLimits limits;
  limits.max_header_bytes = kMaxHeaderBytes;
  limits.max_body_bytes = kMaxResponseBytes;
  parser_ = std::make_unique<MessageParser>(MessageKind::kResponse, limits,
                                            std::move(callbacks));
  if (is_head_request_) {
    parser_->ExpectNoBody();
  }
}

void OriginConnection::OnData(std::string_view bytes) {
  const auto self = shared_from_this();
  if (!is_active_) {
    // No request is pending, so the bytes can't be a valid response.
    Close();
    if (const auto client = client_.lock()) {
      (*client)->Drop(this);
      (*client)->NoteUnsolicited(address_, use_, bytes.size());
    }
    return;
  }
  Receive(bytes);
  ParseInput();
  CheckHeldBytes();
  if (is_active_ && frames_ && frames_->has_ended()) {
    OnStreamEnd(TcpStream::End::kClosed);
  }
}

void OriginConnection::Receive(std::string_view bytes) {
  if (frames_) {
    frames_->Feed(bytes, &input_);
    return;
  }
  input_.append(bytes);
  if (!is_connected_) {
    OnTunnelReply();
  }
}

void OriginConnection::ParseInput() {
  while (is_active_ && is_connected_ && !input_.empty()) {
    const ParseResult result = parser_->Feed(&input_);
    if (is_active_ && HasTooMuchBefore()) {
      Finish(OriginOutcome::kOversized);
    }
    if (!is_active_ || result == ParseResult::kNeedMore) {
      return;
    }
    if (result != ParseResult::kComplete) {
      Finish(OutcomeOf(result));
      return;
    }
    OnMessageComplete();
  }
}

void OriginConnection::CheckHeldBytes() {
  ReleaseIfEmpty(&input_);
  held_.Set(input_.capacity() + unsent_request_.capacity());
  if (is_active_ && input_.size() > held_.Limit(kMaxHeaderBytes)) {
    Finish(OriginOutcome::kOversized);
  }
}

void OriginConnection::OnHead(const MessageHead& head) {
  is_interim_ = head.status < kFirstFinalStatus;
  is_keep_alive_ = head.is_keep_alive;
  if (is_interim_) {
    ++interim_responses_;
    return;
  }
  const ResponseMatch match = sends_.Match(
      head, callbacks_.claim_of ? callbacks_.claim_of(head) : ResponseClaim());
  switch (match.owner) {
    case ResponseOwner::kLatestSend:
      OnAnswer(*match.answer);
      return;
    case ResponseOwner::kOtherSend:
      is_skipping_ = true;
      NoteSkipped(head);
      return;
    case ResponseOwner::kUnnamed:
      NoteSkipped(head);
      Finish(OriginOutcome::kMalformed);
      return;
  }
}

void OriginConnection::NoteSkipped(const MessageHead& head) {
  if (callbacks_.on_skipped) {
    callbacks_.on_skipped(head);
  }
}

void OriginConnection::OnAnswer(const AnswerHead& answer) {
  idle_timeout_ = ParseIdleTimeout(answer.headers());
  if (callbacks_.on_head) {
    callbacks_.on_head(answer);
  }
}

bool OriginConnection::HasTooMuchBefore() const {
  return skipped_bytes_ > kMaxSkippedBytes ||
         interim_responses_ > kMaxInterimResponses;
}

void OriginConnection::OnMessageComplete() {
  if (!is_interim_ && !is_skipping_) {
    Finish(OriginOutcome::kComplete);
    return;
  }
  if (is_skipping_ && (++use_.skipped_responses > kMaxSkippedResponses)) {
    Finish(OriginOutcome::kMalformed);
    return;
  }
  NewParser();
}

void OriginConnection::OnStreamEnd(TcpStream::End end) {
  const auto self = shared_from_this();
  if (!is_active_) {
    NoteBroken();
    Close();
    if (const auto client = client_.lock()) {
      (*client)->Drop(this);
    }
    return;
  }
  if (!is_connected_) {
    NoteRefused();
    Finish(is_tunnel_ ? OriginOutcome::kCarrierUnavailable
                      : OriginOutcome::kNotSent);
    return;
  }
  is_keep_alive_ = false;
  // A carrier's connection may end before the endpoint's.
  const bool is_endpoints_end = !frames_ || frames_->has_ended();
  // An endpoint that ends before it had the whole request may have crashed.
  const bool had_request = stream_->has_delivered_all();
  const bool is_complete = end == TcpStream::End::kClosed && is_endpoints_end &&
                           had_request && !is_skipping_ && !is_interim_ &&
                           parser_->FinishAtEof();
  if (!is_complete) {
    NoteBroken();
  }
  Finish(is_complete ? OriginOutcome::kComplete : OriginOutcome::kCut);
}

void OriginConnection::Finish(OriginOutcome end) {
  if (!is_active_) {
    return;
  }
  const auto self = shared_from_this();
  EndSend();
  self_.reset();
  is_active_ = false;
  connect_timer_.reset();
  // If bytes follow the response, or the response was complete before the whole
  // request was sent, the connection is desynchronised and can't be reused.
  const bool is_reusable = end == OriginOutcome::kComplete && is_keep_alive_ &&
                           is_pooled_ && !sends_.is_full() && input_.empty() &&
                           stream_->unsent_bytes() == 0;
  const auto callbacks =
      std::make_shared<OriginCallbacks>(std::exchange(callbacks_, {}));
  if (is_reusable) {
    idle_since_ = loop_->Now();
    stream_->SetReading(true);
    if (const auto client = client_.lock()) {
      (*client)->KeepIdle(self);
    }
  } else if (end == OriginOutcome::kComplete) {
    Close();
  } else {
    Reset();
  }
  if (callbacks->on_end) {
    callbacks->on_end(end);
  }
  loop_->Post([callbacks]() {});
}

}  // namespace wasabi::http
