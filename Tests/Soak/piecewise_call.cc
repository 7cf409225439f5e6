#include "Tests/Soak/piecewise_call.h"

#include <utility>

#include "LibCore/text.h"

namespace wasabi::soak {

namespace {

constexpr size_t kPieceBytes = 3000;
constexpr core::Duration kPiecePause = core::milliseconds(30);

std::string HeadOf(const http::OriginRequest& request) {
  std::string head =
      fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
  for (const auto& [name, value] : request.headers.fields()) {
    head += fmt::format("{}: {}\r\n", name, value);
  }
  return head + "Transfer-Encoding: chunked\r\n\r\n";
}

}  // namespace

std::shared_ptr<http::OriginCall> PiecewiseCall::Send(
    core::EventLoop* loop,
    const http::OriginRequest& request,
    http::OriginCallbacks callbacks,
    std::function<void()> on_sent) {
  const std::shared_ptr<PiecewiseCall> call(new PiecewiseCall(
      loop, request, std::move(callbacks), std::move(on_sent)));
  call->Start(request.address);
  return call;
}

PiecewiseCall::PiecewiseCall(core::EventLoop* loop,
                             const http::OriginRequest& request,
                             http::OriginCallbacks callbacks,
                             std::function<void()> on_sent)
    : loop_(loop),
      callbacks_(std::move(callbacks)),
      on_sent_(std::move(on_sent)),
      head_(HeadOf(request)),
      unsent_(request.body),
      parser_(
          http::MessageKind::kResponse,
          http::ParserLimits(),
          {.on_head =
               [this](const http::MessageHead& head) {
                 callbacks_.on_head(*sends_.Match(head, {}).answer);
               },
           .on_body =
               [this](std::string_view piece) { callbacks_.on_body(piece); }}) {
}

void PiecewiseCall::Start(const core::SocketAddress& address) {
  const auto self = shared_from_this();
  permit_ = sends_.Begin("");
  auto stream = http::TcpStream::Connect(loop_, address);
  if (!stream.ok()) {
    loop_->Post([self]() { self->End(http::OriginOutcome::kNotSent); });
    return;
  }
  stream_ = *std::move(stream);
  timer_ = loop_->NewTimer([this]() { SendPiece(); });
  http::TcpStream::Callbacks callbacks;
  callbacks.on_connected = [self]() {
    self->is_connected_ = true;
    self->stream_->Write(self->head_);
    self->SendPiece();
  };
  callbacks.on_data = [self](std::string_view bytes) { self->OnData(bytes); };
  callbacks.on_end = [self](http::TcpStream::End /*end*/) { self->OnClosed(); };
  stream_->Start(std::move(callbacks));
}

void PiecewiseCall::SendPiece() {
  if (stream_ == nullptr) {
    return;
  }
  const std::string piece = unsent_.substr(0, kPieceBytes);
  unsent_.erase(0, piece.size());
  if (!piece.empty()) {
    stream_->Write(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
    timer_->StartOnce(kPiecePause);
    return;
  }
  stream_->Write("0\r\n\r\n");
  on_sent_();
}

void PiecewiseCall::OnData(std::string_view bytes) {
  const auto self = shared_from_this();
  received_.append(bytes);
  switch (parser_.Feed(&received_)) {
    case http::ParseResult::kNeedMore:
      return;
    case http::ParseResult::kComplete:
      End(http::OriginOutcome::kComplete);
      return;
    default:
      End(http::OriginOutcome::kMalformed);
      return;
  }
}

void PiecewiseCall::OnClosed() {
  if (!is_connected_) {
    End(http::OriginOutcome::kNotSent);
    return;
  }
  End(parser_.FinishAtEof() ? http::OriginOutcome::kComplete
                            : http::OriginOutcome::kCut);
}

void PiecewiseCall::Cancel() {
  timer_.reset();
  if (const auto stream = std::exchange(stream_, nullptr)) {
    stream->Close();
  }
}

void PiecewiseCall::SetReading(bool is_reading) {
  if (stream_ != nullptr) {
    stream_->SetReading(is_reading);
  }
}

void PiecewiseCall::End(http::OriginOutcome outcome) {
  const auto self = shared_from_this();
  Cancel();
  callbacks_.on_end(outcome);
}

}  // namespace wasabi::soak
