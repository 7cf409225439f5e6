#include "LibForwarding/origin_prober.h"

#include <utility>

namespace wasabi::forwarding {

namespace {

// A round trip to another data centre takes a few milliseconds at most.
constexpr core::Duration kProbeTimeout = core::milliseconds(100);

}  // namespace

OriginProber::OriginProber(core::EventLoop* loop, OriginCertainty* certainty)
    : loop_(loop), certainty_(certainty) {}

OriginProber::~OriginProber() {
  for (const auto& [address, probe] : probes_) {
    probe.stream->Close();
  }
}

void OriginProber::Probe(const core::SocketAddress& address, Callback done) {
  if (certainty_->IsConnected(address)) {
    done();
    return;
  }
  const auto running = probes_.find(address);
  if (running != probes_.end()) {
    running->second.callbacks.push_back(std::move(done));
    return;
  }
  auto stream = http::TcpStream::Connect(loop_, address);
  if (!stream.ok()) {
    certainty_->RecordBreak(address, loop_->Now());
    done();
    return;
  }
  RunningProbe& probe = probes_[address];
  probe.stream = *std::move(stream);
  probe.callbacks.push_back(std::move(done));
  probe.timer = loop_->NewTimer([this, address]() { End(address, false); });
  probe.timer->StartOnce(kProbeTimeout);
  http::TcpStream::Callbacks callbacks;
  callbacks.on_connected = [this, address]() { End(address, true); };
  callbacks.on_data = [](std::string_view /*bytes*/) {};
  callbacks.on_end = [this, address](http::TcpStream::End /*end*/) {
    End(address, false);
  };
  probe.stream->Start(std::move(callbacks));
}

void OriginProber::End(core::SocketAddress address, bool is_connected) {
  const auto it = probes_.find(address);
  if (it == probes_.end()) {
    return;
  }
  const auto probe = std::make_shared<RunningProbe>(std::move(it->second));
  probes_.erase(it);
  probe->stream->Close();
  if (is_connected) {
    certainty_->RecordConnected(address, loop_->Now());
  } else {
    certainty_->RecordBreak(address, loop_->Now());
  }
  for (const Callback& callback : probe->callbacks) {
    callback();
  }
  // The stream's or the timer's callback is running now.
  loop_->Post([probe]() {});
}

}  // namespace wasabi::forwarding
