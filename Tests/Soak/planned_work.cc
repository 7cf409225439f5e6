#include "Tests/Soak/planned_work.h"

#include <algorithm>

namespace wasabi::soak {

namespace {

using RunPointer = std::shared_ptr<support::EndpointRun>;

// A call that is cut within this time after its last byte was sent may never
// have reached the host.
constexpr core::Duration kMaxDeliveryTime = core::milliseconds(200);
// A call that was sent no later than this after the SIGTERM may be cut in the
// last one of so many parts of the grace period.
constexpr core::Duration kLastExcusedSend = core::seconds(3);
constexpr int kGraceParts = 6;
// Time after the grace period for which a cut belongs to the stop.
constexpr core::Duration kStopSlack = core::seconds(1);

bool IsCut(const Call& call) {
  return call.end && call.end != http::OriginOutcome::kComplete &&
         !call.disconnected_at;
}

bool WasRead(const Call& call, const std::vector<RunPointer>& runs) {
  return !runs.empty() ||
         (call.whole_at && call.ended_at - *call.whole_at > kMaxDeliveryTime);
}

bool HasFault(const Call& call, const History& history, const Bounds& bounds) {
  const core::TimePoint from = call.sent_at - bounds.stable;
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const auto& it) {
                       return !it->is_planned && it->from <= call.ended_at &&
                              from <= it->to;
                     });
}

// Returns true if `stop` excuses that `call` was cut.
bool IsExcusedBy(const Disturbance& stop,
                 const Call& call,
                 const std::vector<RunPointer>& runs,
                 const Bounds& bounds) {
  const core::TimePoint last_part =
      stop.from + bounds.shutdown_grace * (kGraceParts - 1) / kGraceParts;
  const bool is_its_stop = stop.is_planned &&
                           stop.scope == Disturbance::Scope::kHost &&
                           stop.host == call.host;
  if (!is_its_stop || call.sent_at > stop.from + kLastExcusedSend ||
      call.ended_at < last_part ||
      call.ended_at > stop.from + bounds.shutdown_grace + kStopSlack) {
    return false;
  }
  return std::any_of(runs.begin(), runs.end(), [&](const RunPointer& it) {
    return it->started_at <= call.ended_at &&
           (it->end == support::RunEnd::kRunning || it->ended_at >= last_part);
  });
}

}  // namespace

bool IsCutByPlannedWork(const Call& call,
                        const std::vector<RunPointer>& runs,
                        const History& history,
                        const Bounds& bounds) {
  if (!IsCut(call) || !WasRead(call, runs) ||
      call.ended_at - call.sent_at >= call.deadline ||
      HasFault(call, history, bounds)) {
    return false;
  }
  return std::none_of(
      history.disturbances.begin(), history.disturbances.end(),
      [&](const auto& it) { return IsExcusedBy(*it, call, runs, bounds); });
}

}  // namespace wasabi::soak
