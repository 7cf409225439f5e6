#include "LibForwarding/tunnel_server.h"

#include <utility>

#include "LibForwarding/tunnel.h"
#include "LibHttp/tunnel.h"

namespace wasabi::forwarding {

namespace {

// Bounds the connections and the memory that other hosts' requests may take.
constexpr size_t kMaxTunnels = 256;

}  // namespace

TunnelServer::TunnelServer(ForwardContext* context) : context_(context) {}

TunnelServer::~TunnelServer() = default;

void TunnelServer::Open(const std::shared_ptr<http::Transaction>& transaction) {
  const auto refuse = [&](http::TunnelReply reply) {
    ++context_->metrics->Counter("tunnels_refused");
    const auto stream = transaction->TakeOver();
    if (stream != nullptr) {
      stream->Write(http::EncodeTunnelReply(reply));
      stream->Close();
    }
  };
  if (is_stopping_ || context_->path->is_lost() ||
      tunnels_.size() >= kMaxTunnels ||
      context_->buffer_memory->IsExhausted()) {
    refuse(http::TunnelReply::kCarrierUnavailable);
    return;
  }
  const auto hash = http::EndpointHashOfTunnel(transaction->request().target);
  const Endpoint* endpoint =
      hash ? context_->endpoints->FindAvailable(*hash) : nullptr;
  const core::TimePoint now = context_->loop->Now();
  if (endpoint == nullptr ||
      now < context_->monitor->PausedUntil(endpoint->id)) {
    refuse(http::TunnelReply::kEndpointUnavailable);
    return;
  }
  if (context_->monitor->IsDown(endpoint->id, now)) {
    refuse(http::TunnelReply::kEndpointUnreachable);
    return;
  }
  const bool is_framed =
      http::AcceptsTunnelFrames(transaction->request().headers);
  const std::string request_id =
      http::RequestIdOfTunnel(transaction->request().headers);
  auto stream = transaction->TakeOver();
  if (stream == nullptr) {
    return;
  }
  const auto tunnel = std::make_shared<Tunnel>(
      context_, std::move(stream), is_framed, request_id, *endpoint,
      [this](const std::shared_ptr<Tunnel>& it) { tunnels_.erase(it); });
  tunnels_.insert(tunnel);
  ++context_->metrics->Counter("tunnels_opened");
  tunnel->Start();
}

void TunnelServer::InterruptAll() {
  // A tunnel that ends removes itself.
  const std::set<std::shared_ptr<Tunnel>> open = tunnels_;
  for (const std::shared_ptr<Tunnel>& it : open) {
    it->Interrupt();
  }
}

}  // namespace wasabi::forwarding
