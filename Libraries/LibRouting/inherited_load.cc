#include "LibRouting/inherited_load.h"

#include <algorithm>

namespace wasabi::routing {

void InheritedLoad::StartCounting() {
  is_counting_ = true;
  has_report_ = false;
}

void InheritedLoad::StopCounting() {
  is_counting_ = false;
}

void InheritedLoad::Observe(const RunnerLoad& reported,
                            const RunnerLoad& own,
                            core::TimePoint now) {
  if (!is_counting_) {
    return;
  }
  if (!has_report_) {
    has_report_ = true;
    first_report_ = now;
  }
  last_report_ = now;
  load_.requests =
      reported.requests - std::min(reported.requests, own.requests);
  load_.tokens = std::max(0.0, reported.tokens - own.tokens);
}

RunnerLoad InheritedLoad::CurrentLoad(core::TimePoint now) const {
  const bool is_counted = is_counting_ && has_report_ &&
                          now - first_report_ < kLifetime &&
                          now - last_report_ < kReportLifetime;
  return is_counted ? load_ : RunnerLoad{};
}

}  // namespace wasabi::routing
