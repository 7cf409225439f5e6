#include "LibForwarding/retry_delay.h"

#include "LibForwarding/pool_outlook.h"
#include "LibRouting/return_phase.h"

namespace wasabi::forwarding {

namespace {

// Range of the random delay after which a refused caller may retry.
constexpr core::Duration kMinRetryAfter = core::milliseconds(100);
constexpr core::Duration kMaxRetryAfter = core::milliseconds(500);
// Callers honour a delay of up to one in this many parts of their remaining
// time.
constexpr int kReturnParts = 3;

}  // namespace

core::Duration RandomRetryDelay(core::RandomSource* random) {
  const double share = random->Unit();
  return kMinRetryAfter +
         core::FromSeconds(core::ToSeconds(kMaxRetryAfter - kMinRetryAfter) *
                           share);
}

core::Duration PacedRetryDelay(ForwardContext* context,
                               const ForwardRequest& request,
                               const core::PoolId& pool,
                               const routing::WorkItem& item) {
  const core::TimePoint now = context->loop->Now();
  const core::Duration remaining = request.deadline - now;
  const core::Duration delay =
      context->waiting->AdmissionOf(pool).TakeReturnTime(
          item, OutlookOf(*context, pool, now), remaining, now,
          *context->random);
  const core::Duration aligned =
      routing::ReturnPhase(request.content_digest,
                           request.route->latency_objective)
          .Align(delay, remaining);
  // Callers ignore a delay that takes more of their time.
  return aligned * kReturnParts <= remaining ? aligned : delay;
}

}  // namespace wasabi::forwarding
