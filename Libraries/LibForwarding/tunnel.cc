#include "LibForwarding/tunnel.h"

#include <utility>

#include "LibCore/text.h"
#include "LibForwarding/endpoint_notices.h"
#include "LibHttp/tunnel.h"
#include "LibHttp/tunnel_frames.h"

namespace wasabi::forwarding {

namespace {

// Shorter than the time in which hosts expect an answer, so that they hear of
// it.
constexpr core::Duration kConnectTimeout = core::milliseconds(300);
constexpr core::Duration kLingerTime = core::seconds(1);
// Reading from one side pauses while the other has this many unsent bytes.
constexpr size_t kMaxUnsentBytes = 64U << 10U;

}  // namespace

Tunnel::Tunnel(ForwardContext* context,
               std::shared_ptr<http::TcpStream> host,
               bool is_framed,
               std::string request_id,
               Endpoint endpoint,
               EndObserver on_end)
    : context_(context),
      host_(std::move(host)),
      is_framed_(is_framed),
      request_id_(std::move(request_id)),
      endpoint_(std::move(endpoint)),
      on_end_(std::move(on_end)),
      held_(context->buffer_memory) {}

void Tunnel::ApplyBackPressure(const http::TcpStream& to,
                               http::TcpStream* from) const {
  if (to.unsent_bytes() >= context_->buffer_memory->Limit(kMaxUnsentBytes)) {
    from->SetReading(false);
  }
}

void Tunnel::Start() {
  started_at_ = context_->loop->Now();
  const auto weak = weak_from_this();
  // 1. The host's side is watched from the start: it may give up.
  http::TcpStream::Callbacks host;
  host.on_data = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->OnHostData(bytes);
    }
  };
  host.on_end = [weak](http::TcpStream::End /*end*/) {
    if (const auto self = weak.lock()) {
      self->End();
    }
  };
  host.on_drained = [weak]() {
    const auto self = weak.lock();
    if (self != nullptr && self->endpoint_stream_ != nullptr) {
      self->endpoint_stream_->SetReading(true);
    }
  };
  host_->SetCallbacks(std::move(host));
  // 2. The endpoint's side.
  auto stream = http::TcpStream::Connect(context_->loop, endpoint_.address);
  if (!stream.ok()) {
    OnNotConnected();
    return;
  }
  endpoint_stream_ = *std::move(stream);
  endpoint_stream_->SetMemory(context_->buffer_memory);
  http::TcpStream::Callbacks endpoint;
  endpoint.on_connected = [weak]() {
    if (const auto self = weak.lock()) {
      self->OnConnected();
    }
  };
  endpoint.on_data = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->OnEndpointData(bytes);
    }
  };
  endpoint.on_end = [weak](http::TcpStream::End end) {
    if (const auto self = weak.lock()) {
      self->OnEndpointEnd(end);
    }
  };
  endpoint.on_drained = [weak]() {
    if (const auto self = weak.lock()) {
      self->host_->SetReading(true);
    }
  };
  endpoint_stream_->Start(std::move(endpoint));
  timer_ = context_->loop->NewTimer([weak]() {
    if (const auto self = weak.lock()) {
      self->OnNotConnected();
    }
  });
  timer_->StartOnce(kConnectTimeout);
}

void Tunnel::Interrupt() {
  const core::Duration age = context_->loop->Now() - started_at_;
  context_->events->Record(
      core::EventCode::kTunnelInterrupted, "",
      fmt::format("endpoint={} is_connected={} has_head={} ms={}",
                  endpoint_.id.value(), is_connected_, has_head_,
                  core::ToMilliseconds(age)));
  ++context_->metrics->Counter("tunnels_interrupted");
  // A host that knows no frames takes an orderly end for the endpoint's.
  host_->Abort();
  End();
}

void Tunnel::OnConnected() {
  is_connected_ = true;
  timer_.reset();
  context_->path->RecordConnected();
  if (context_->endpoints->IsEvacuated(endpoint_.data_centre) ||
      !context_->endpoints->HasAddress(endpoint_)) {
    host_->Write(
        http::EncodeTunnelReply(http::TunnelReply::kEndpointUnavailable));
    End();
    return;
  }
  // The connection is new, so it may carry the request.
  permit_ = sends_.Begin(request_id_);
  NewParser();
  host_->Write(http::EncodeTunnelReply(
      is_framed_ ? http::TunnelReply::kOpenFramed : http::TunnelReply::kOpen));
}

void Tunnel::OnNotConnected() {
  context_->path->RecordFailure(endpoint_.id);
  // A host whose own path is lost knows nothing of the endpoint.
  host_->Write(http::EncodeTunnelReply(
      context_->path->is_lost() ? http::TunnelReply::kCarrierUnavailable
                                : http::TunnelReply::kEndpointUnreachable));
  End();
}

void Tunnel::OnHostData(std::string_view bytes) {
  if (!permit_) {
    // Nothing may be sent before the reply.
    End();
    return;
  }
  endpoint_stream_->Write(bytes);
  ApplyBackPressure(*endpoint_stream_, host_.get());
}

void Tunnel::OnEndpointData(std::string_view bytes) {
  if (!has_head_) {
    ReadNotices(bytes);
  }
  if (is_framed_) {
    host_->Write(http::EncodeTunnelFrame(bytes));
  } else {
    host_->Write(bytes);
  }
  ApplyBackPressure(*host_, endpoint_stream_.get());
}

void Tunnel::OnEndpointEnd(http::TcpStream::End end) {
  if (!is_connected_) {
    OnNotConnected();
    return;
  }
  // An endpoint that ends before it had the whole request may have crashed.
  const bool had_request = endpoint_stream_->has_delivered_all();
  if (end == http::TcpStream::End::kBroken || (!had_request && !is_framed_)) {
    // The host must be able to tell it from an orderly end.
    host_->Abort();
    End();
    return;
  }
  endpoint_stream_->Close();
  if (is_framed_ && had_request) {
    host_->Write(http::EncodeTunnelEnd());
  }
  host_->ShutDownWriting();
  timer_ = context_->loop->NewTimer([weak = weak_from_this()]() {
    if (const auto self = weak.lock()) {
      self->OnLingered();
    }
  });
  timer_->StartOnce(kLingerTime);
}

void Tunnel::OnLingered() {
  if (host_->unsent_bytes() > 0) {
    // The host reads slowly. If it is gone, the connection breaks by itself.
    timer_->StartOnce(kLingerTime);
    return;
  }
  End();
}

void Tunnel::NewParser() {
  http::MessageParser::Callbacks callbacks;
  callbacks.on_head = [this](const http::MessageHead& head) { OnHead(head); };
  callbacks.on_body = [](std::string_view /*piece*/) {};
  parser_ = std::make_unique<http::MessageParser>(
      http::MessageKind::kResponse, http::ParserLimits(), std::move(callbacks));
}

void Tunnel::OnHead(const http::MessageHead& head) {
  if (head.status < http::kFirstFinalStatus) {
    return;
  }
  const http::ResponseMatch match =
      sends_.Match(head, context_->endpoint_protocol->ClaimIn(head));
  has_head_ = match.owner != http::ResponseOwner::kOtherSend;
  if (match.answer) {
    OnAnswer(*match.answer);
  }
}

void Tunnel::OnAnswer(const http::AnswerHead& answer) {
  const EndpointProtocol& protocol = *context_->endpoint_protocol;
  const auto notice = protocol.NoticeIn(answer);
  if (notice) {
    RecordNotice(context_, endpoint_, *notice, true, request_id_);
  } else if (protocol.Classify(answer) == AttemptVerdict::kNotRun) {
    RecordMisdirected(context_, endpoint_, "tunnel=1", request_id_);
  }
}

void Tunnel::ReadNotices(std::string_view bytes) {
  unparsed_.append(bytes);
  while (!has_head_ && !unparsed_.empty()) {
    const http::ParseResult result = parser_->Feed(&unparsed_);
    if (result == http::ParseResult::kComplete) {
      NewParser();
      continue;
    }
    // The host finds out by itself that the answer is malformed.
    has_head_ = has_head_ || result != http::ParseResult::kNeedMore;
    break;
  }
  if (has_head_) {
    unparsed_ = {};
  }
  held_.Set(unparsed_.capacity());
}

void Tunnel::End() {
  if (!on_end_) {
    return;
  }
  const auto self = shared_from_this();
  timer_.reset();
  host_->Close();
  if (endpoint_stream_ != nullptr) {
    // The endpoint must not take the end for that of the request alone, and
    // work on for a host that is gone.
    endpoint_stream_->Abort();
  }
  std::exchange(on_end_, nullptr)(self);
}

}  // namespace wasabi::forwarding
