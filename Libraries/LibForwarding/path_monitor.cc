#include "LibForwarding/path_monitor.h"

namespace wasabi::forwarding {

namespace {

// One endpoint that cannot be reached is more likely to be down itself.
constexpr size_t kMinFailedEndpoints = 2;
// Failures further apart than this have nothing to do with each other.
constexpr core::Duration kFailureLifetime = core::seconds(2);

}  // namespace

void PathMonitor::RecordConnected() {
  failed_at_.clear();
  is_lost_ = false;
}

void PathMonitor::RecordFailure(const core::RunnerId& endpoint,
                                core::TimePoint now) {
  absl::erase_if(failed_at_, [now](const auto& it) {
    return now - it.second > kFailureLifetime;
  });
  failed_at_[endpoint] = now;
  is_lost_ = is_lost_ || failed_at_.size() >= kMinFailedEndpoints;
}

}  // namespace wasabi::forwarding
