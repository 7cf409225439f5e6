#include "LibForwarding/endpoint_monitor.h"

#include <algorithm>
#include <cmath>

namespace wasabi::forwarding {

namespace {

// Weight of one outcome in the moving average of the failure share.
constexpr double kOutcomeWeight = 0.15;
// The failure share of an endpoint without requests halves in this time, so
// that the endpoint is tried again after a few half-lives.
constexpr core::Duration kFailureHalfLife = core::seconds(2);
constexpr core::Duration kMinHoldDown = core::milliseconds(300);
constexpr core::Duration kMaxHoldDown = core::seconds(2);

double Decayed(double share, core::Duration age) {
  return share *
         std::exp2(-core::ToSeconds(age) / core::ToSeconds(kFailureHalfLife));
}

}  // namespace

void EndpointMonitor::RecordSuccess(const core::RunnerId& endpoint,
                                    core::TimePoint now) {
  Record& record = records_[endpoint];
  Update(record, 0, now);
  record.hold_down = core::Duration::zero();
  record.down_until = core::TimePoint();
}

void EndpointMonitor::RecordFailure(const core::RunnerId& endpoint,
                                    core::TimePoint now) {
  Update(records_[endpoint], 1, now);
}

void EndpointMonitor::RecordUnreachable(const core::RunnerId& endpoint,
                                        core::TimePoint now) {
  Record& record = records_[endpoint];
  if (now < record.down_until) {
    return;
  }
  record.hold_down =
      std::clamp(record.hold_down * 2, kMinHoldDown, kMaxHoldDown);
  record.down_until = now + record.hold_down;
}

void EndpointMonitor::EndHoldDowns() {
  for (auto& [id, record] : records_) {
    record.hold_down = core::Duration::zero();
    record.down_until = core::TimePoint();
  }
}

void EndpointMonitor::RecordPause(const core::RunnerId& endpoint,
                                  core::TimePoint until) {
  core::TimePoint& paused_until = records_[endpoint].paused_until;
  paused_until = std::max(paused_until, until);
}

void EndpointMonitor::Forget(const core::RunnerId& endpoint) {
  records_.erase(endpoint);
}

bool EndpointMonitor::IsDown(const core::RunnerId& endpoint,
                             core::TimePoint now) const {
  const auto it = records_.find(endpoint);
  return it != records_.end() && now < it->second.down_until;
}

core::TimePoint EndpointMonitor::PausedUntil(
    const core::RunnerId& endpoint) const {
  const auto it = records_.find(endpoint);
  return it == records_.end() ? core::TimePoint() : it->second.paused_until;
}

double EndpointMonitor::FailureShare(const core::RunnerId& endpoint,
                                     core::TimePoint now) const {
  const auto it = records_.find(endpoint);
  if (it == records_.end()) {
    return 0;
  }
  return Decayed(it->second.failure_share, now - it->second.updated_at);
}

void EndpointMonitor::Update(Record& record,
                             double outcome,
                             core::TimePoint now) {
  const double share =
      record.failure_share == 0
          ? 0
          : Decayed(record.failure_share, now - record.updated_at);
  record.failure_share = share + kOutcomeWeight * (outcome - share);
  record.updated_at = now;
}

}  // namespace wasabi::forwarding
