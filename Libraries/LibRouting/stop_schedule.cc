#include "LibRouting/stop_schedule.h"

#include <algorithm>

namespace wasabi::routing {

namespace {

// Extra time for discovery responses that are still on their way to callers.
constexpr core::Duration kDiscoverySlack = core::milliseconds(400);
// The host may notice the signal, and receive a request that was sent, this
// late.
constexpr core::Duration kReceiptSlack = core::milliseconds(300);
// Share of the grace period for which the host listens at most.
constexpr double kListeningShare = 0.5;
// After this share of the grace period, requests are sent only if their answer
// is due before they would be ended. An ordinary answer takes until then to be
// complete, or to have begun.
constexpr double kSendingShare = 0.8;
// Requests still open after this share of the grace period are ended.
constexpr double kServingShare = 0.9;
// After this share of the grace period the process ends. The rest is left for
// it to exit before it is killed.
constexpr double kRunningShare = 0.95;

core::Duration ShareOf(core::Duration grace, double share) {
  return core::FromSeconds(core::ToSeconds(grace) * share);
}

}  // namespace

StopSchedule::StopSchedule(const StopPolicy& policy, core::TimePoint began_at)
    : began_at_(began_at),
      listens_until_(began_at +
                     std::min(policy.address_lifetime + kDiscoverySlack,
                              ShareOf(policy.grace, kListeningShare))),
      interrupts_at_(began_at + ShareOf(policy.grace, kServingShare)),
      sends_all_until_(began_at + ShareOf(policy.grace, kSendingShare)),
      takes_all_until_(
          std::min(began_at + policy.address_lifetime - kReceiptSlack,
                   sends_all_until_)),
      ends_at_(began_at + ShareOf(policy.grace, kRunningShare)) {}

}  // namespace wasabi::routing
