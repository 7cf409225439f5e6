// Recognises callers that come back at the time that a refusal named, on any
// host and without state.
//
// A refusal names a time of return at which the caller's remaining time,
// modulo a period, equals a phase derived from the request's content. The
// caller states its remaining time with every attempt, so that each host can
// check the phase. A caller that comes back early has another phase, except by
// chance (kToleranceShare).

#ifndef LIBROUTING_RETURN_PHASE_H_
#define LIBROUTING_RETURN_PHASE_H_

#include <cstdint>

#include "LibCore/time.h"

namespace wasabi::routing {

class ReturnPhase {
 public:
  // `content_digest` is the same for all attempts of one request.
  // `latency_objective` is that of its route.
  ReturnPhase(uint64_t content_digest, core::Duration latency_objective);

  // Returns the first delay from `delay` on after which a caller that has
  // `remaining` time left comes back in phase.
  core::Duration Align(core::Duration delay, core::Duration remaining) const;

  // Returns whether a caller that has `remaining` time left is in phase.
  bool IsInPhase(core::Duration remaining) const;

  core::Duration period() const { return period_; }

 private:
  // Share of the period by which callers may be late. It is also the share of
  // other requests that are in phase by chance.
  static constexpr int kToleranceShare = 10;

  // Returns the time until the next moment in phase, in [0, period).
  core::Duration UntilInPhase(core::Duration remaining) const;

  core::Duration period_;
  core::Duration phase_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_RETURN_PHASE_H_
