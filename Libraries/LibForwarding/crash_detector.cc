#include "LibForwarding/crash_detector.h"

#include <string>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

// All connections to a crashed endpoint break within this time, so requests are
// collected for this long before the endpoint is probed.
constexpr core::Duration kCollectionTime = core::milliseconds(40);
// An endpoint that neither accepts nor refuses the probe within this time may
// be cut off by a network failure, which does not count as a crash.
constexpr core::Duration kProbeTimeout = core::milliseconds(300);

// Returns the requests as text: "CONTENT:PART,PART;CONTENT:PART".
std::string Describe(const std::vector<RequestFingerprint>& requests) {
  std::string text;
  for (const RequestFingerprint& it : requests) {
    text += fmt::format("{}{:x}:{:x}", text.empty() ? "" : ";", it.content,
                        fmt::join(it.parts, ","));
  }
  return text;
}

}  // namespace

CrashDetector::CrashDetector(core::EventLoop* loop,
                             core::EventRing* events,
                             CrashSuspects* suspects,
                             PathProber* path)
    : loop_(loop), events_(events), suspects_(suspects), path_(path) {}

void CrashDetector::RecordBrokenConnection(const Endpoint& endpoint,
                                           RequestFingerprint request) {
  Case& it = cases_[endpoint.id];
  it.requests.push_back(std::move(request));
  if (it.timer != nullptr) {
    return;
  }
  it.endpoint = endpoint;
  it.timer = loop_->NewTimer([this, id = endpoint.id]() { Probe(id); });
  it.timer->StartOnce(kCollectionTime);
}

void CrashDetector::Probe(const core::RunnerId& id) {
  Case& it = cases_[id];
  auto probe = http::TcpStream::Connect(loop_, it.endpoint.address);
  if (!probe.ok()) {
    Close(id, false);
    return;
  }
  it.probe = *std::move(probe);
  it.timer = loop_->NewTimer([this, id]() { Close(id, false); });
  it.timer->StartOnce(kProbeTimeout);
  http::TcpStream::Callbacks callbacks;
  callbacks.on_connected = [this, id]() { Close(id, false); };
  callbacks.on_data = [](std::string_view /*bytes*/) {};
  callbacks.on_end = [this, id](http::TcpStream::End /*end*/) {
    OnRefused(id);
  };
  it.probe->Start(std::move(callbacks));
}

void CrashDetector::OnRefused(const core::RunnerId& id) {
  cases_[id].timer.reset();
  path_->RecordFailure(id);
  path_->AfterCheck([this, id](bool is_lost) { Close(id, !is_lost); });
}

void CrashDetector::Close(const core::RunnerId& id, bool has_crashed) {
  const auto it = cases_.find(id);
  if (it == cases_.end()) {
    return;
  }
  const Case closed = std::move(it->second);
  cases_.erase(it);
  if (closed.probe != nullptr) {
    closed.probe->Close();
  }
  if (!has_crashed) {
    return;
  }
  const auto incarnation = static_cast<uint64_t>(closed.endpoint.started_at_ms);
  suspects_->RecordCrash(core::CombineHashes(id.Hash(), incarnation),
                         closed.requests, loop_->Now());
  events_->Record(
      core::EventCode::kDigestSuspected, "",
      fmt::format("endpoint={} requests={} contents_and_parts={}", id.value(),
                  closed.requests.size(), Describe(closed.requests)));
}

}  // namespace wasabi::forwarding
