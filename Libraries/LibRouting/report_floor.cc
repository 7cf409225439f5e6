#include "LibRouting/report_floor.h"

#include <algorithm>

namespace wasabi::routing {

void ReportFloor::Require() {
  is_required_ = true;
  has_report_ = false;
}

void ReportFloor::Clear() {
  is_required_ = false;
}

void ReportFloor::Observe(const RunnerLoad& reported,
                          const RunnerLoad& own,
                          core::TimePoint now) {
  if (!is_required_) {
    return;
  }
  if (!has_report_) {
    has_report_ = true;
    first_report_ = now;
  }
  last_report_ = now;
  foreign_.requests =
      reported.requests - std::min(reported.requests, own.requests);
  foreign_.tokens = std::max(0.0, reported.tokens - own.tokens);
}

RunnerLoad ReportFloor::Foreign(core::TimePoint now) const {
  const bool is_counted = is_required_ && has_report_ &&
                          now - first_report_ < kLifetime &&
                          now - last_report_ < kReportLifetime;
  return is_counted ? foreign_ : RunnerLoad{};
}

}  // namespace wasabi::routing
