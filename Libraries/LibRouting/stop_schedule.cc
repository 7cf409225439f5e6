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
// is due before open requests are ended. Others are unlikely to be answered in
// the time that is left.
constexpr double kSendingShare = 0.8;
// Requests still open after this share of the grace period are ended.
constexpr double kServingShare = 0.9;
// After this share of the grace period the process ends. The rest is left for
// it to exit before it is killed.
constexpr double kRunningShare = 0.95;

// Time that a host has at least to deliver what it already received, however
// late it noticed the signal.
constexpr core::Duration kMinServingTime = core::milliseconds(200);

core::Duration ShareOf(core::Duration grace, double share) {
  return core::FromSeconds(core::ToSeconds(grace) * share);
}

// Returns since when a host counts its stop that noticed the signal at
// `noticed_at` and may have had it since `signalled_after`.
core::TimePoint BeganAt(core::Duration grace,
                        core::TimePoint signalled_after,
                        core::TimePoint noticed_at) {
  const core::Duration longest_delay =
      ShareOf(grace, kServingShare) - kMinServingTime;
  return std::clamp(
      signalled_after,
      noticed_at - std::max(longest_delay, core::Duration::zero()), noticed_at);
}

}  // namespace

StopSchedule::StopSchedule(const StopPolicy& policy,
                           core::TimePoint signalled_after,
                           core::TimePoint noticed_at)
    : StopSchedule(policy, BeganAt(policy.grace, signalled_after, noticed_at)) {
}

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
