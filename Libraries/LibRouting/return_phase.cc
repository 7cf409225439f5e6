#include "LibRouting/return_phase.h"

#include <algorithm>

#include "LibCore/hash.h"

namespace wasabi::routing {

namespace {

// Callers wake up some milliseconds late, and answers take as long to reach
// them. The period bounds by how much a time of return is postponed.
constexpr core::Duration kMinPeriod = core::milliseconds(100);
constexpr core::Duration kMaxPeriod = core::milliseconds(400);
// Callers may round the remaining time that they state.
constexpr core::Duration kRounding = core::milliseconds(2);

}  // namespace

ReturnPhase::ReturnPhase(uint64_t content_digest,
                         core::Duration latency_objective)
    : period_(std::clamp(latency_objective / 2, kMinPeriod, kMaxPeriod)),
      // The digest alone would leave requests of one content in phase with
      // other uses of the digest, such as placement.
      phase_(core::Duration(static_cast<core::Duration::rep>(
          core::CombineHashes(content_digest, 1) %
          static_cast<uint64_t>(period_.count())))) {}

core::Duration ReturnPhase::UntilInPhase(core::Duration remaining) const {
  const core::Duration left = (remaining - phase_) % period_;
  return left < core::Duration::zero() ? left + period_ : left;
}

core::Duration ReturnPhase::Align(core::Duration delay,
                                  core::Duration remaining) const {
  return delay + UntilInPhase(remaining - delay);
}

bool ReturnPhase::IsInPhase(core::Duration remaining) const {
  // A late caller has less time left than the phase says.
  const core::Duration early = UntilInPhase(remaining + kRounding);
  const core::Duration late = period_ - UntilInPhase(remaining);
  return early <= 2 * kRounding || late <= period_ / kToleranceShare;
}

}  // namespace wasabi::routing
