#include "LibForwarding/path_prober.h"

#include <algorithm>
#include <utility>

#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

// Time limit of a probe. A round trip to another data centre takes a few
// milliseconds at most.
constexpr core::Duration kProbeTimeout = core::milliseconds(300);
constexpr size_t kProbesPerCheck = 2;
// Time between two checks while the path is lost.
constexpr core::Duration kCheckInterval = core::milliseconds(250);

}  // namespace

PathProber::PathProber(core::EventLoop* loop,
                       core::EventRing* events,
                       const EndpointTable* endpoints,
                       const CarrierDirectory* carriers,
                       uint64_t seed)
    : loop_(loop),
      events_(events),
      endpoints_(endpoints),
      carriers_(carriers),
      random_(seed) {}

PathProber::~PathProber() {
  for (const Probe& it : probes_) {
    it.stream->Close();
  }
}

void PathProber::RecordConnected() {
  monitor_.RecordConnected();
  NoteChange();
}

void PathProber::RecordFailure(const core::RunnerId& endpoint) {
  monitor_.RecordFailure(endpoint, loop_->Now());
  NoteChange();
  if (!is_checking_ && next_check_ == nullptr && !carriers_->empty()) {
    StartCheck();
  }
}

void PathProber::AfterCheck(Callback callback) {
  if (!is_checking_) {
    callback(is_lost());
    return;
  }
  waiting_.push_back(std::move(callback));
}

void PathProber::StartCheck() {
  is_checking_ = true;
  next_check_.reset();
  std::vector<Endpoint> candidates;
  for (const auto& [id, endpoint] : endpoints_->all()) {
    if (!monitor_.HasFailed(id)) {
      candidates.push_back(endpoint);
    }
  }
  if (candidates.empty()) {
    for (const auto& [id, endpoint] : endpoints_->all()) {
      candidates.push_back(endpoint);
    }
  }
  const size_t n = std::min(kProbesPerCheck, candidates.size());
  timeout_ = loop_->NewTimer([this]() { OnTimeout(); });
  timeout_->StartOnce(kProbeTimeout);
  for (size_t i = 0; i < n; ++i) {
    std::swap(candidates[i],
              candidates[i + random_.Below(candidates.size() - i)]);
    StartProbe(candidates[i]);
  }
  if (probes_.empty()) {
    EndCheck();
  }
}

void PathProber::StartProbe(const Endpoint& endpoint) {
  auto stream = http::TcpStream::Connect(loop_, endpoint.address);
  if (!stream.ok()) {
    monitor_.RecordFailure(endpoint.id, loop_->Now());
    NoteChange();
    return;
  }
  const core::RunnerId id = endpoint.id;
  http::TcpStream::Callbacks callbacks;
  callbacks.on_connected = [this, id]() { OnProbeEnd(id, true); };
  callbacks.on_data = [](std::string_view /*bytes*/) {};
  callbacks.on_end = [this, id](http::TcpStream::End /*end*/) {
    OnProbeEnd(id, false);
  };
  (*stream)->Start(std::move(callbacks));
  probes_.push_back({.endpoint = id, .stream = *std::move(stream)});
}

void PathProber::OnProbeEnd(const core::RunnerId& endpoint, bool is_reachable) {
  std::erase_if(probes_, [&](const Probe& it) {
    if (it.endpoint != endpoint) {
      return false;
    }
    it.stream->Close();
    return true;
  });
  if (is_reachable) {
    monitor_.RecordConnected();
  } else {
    monitor_.RecordFailure(endpoint, loop_->Now());
  }
  NoteChange();
  if (is_reachable || probes_.empty()) {
    EndCheck();
  }
}

void PathProber::OnTimeout() {
  for (const Probe& it : probes_) {
    monitor_.RecordFailure(it.endpoint, loop_->Now());
  }
  NoteChange();
  EndCheck();
}

void PathProber::EndCheck() {
  if (!is_checking_) {
    return;
  }
  is_checking_ = false;
  timeout_.reset();
  for (const Probe& it : probes_) {
    it.stream->Close();
  }
  probes_.clear();
  if (monitor_.is_lost()) {
    next_check_ = loop_->NewTimer([this]() { StartCheck(); });
    next_check_->StartOnce(kCheckInterval);
  }
  for (const Callback& it : std::exchange(waiting_, {})) {
    it(is_lost());
  }
}

void PathProber::NoteChange() {
  if (is_lost() == was_lost_) {
    return;
  }
  was_lost_ = is_lost();
  if (was_lost_) {
    lost_at_ = loop_->Now();
    events_->Record(core::EventCode::kPathLost, "",
                    fmt::format("endpoints={} carriers={}",
                                endpoints_->all().size(), carriers_->size()));
    if (on_loss_) {
      on_loss_();
    }
    return;
  }
  events_->Record(
      core::EventCode::kPathRestored, "",
      fmt::format("lost_ms={}", core::ToMilliseconds(loop_->Now() - lost_at_)));
}

}  // namespace wasabi::forwarding
