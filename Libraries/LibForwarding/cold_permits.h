// Grants the permits of one cold endpoint. Handles an endpoint without requests
// that hundreds of hosts want to use at the same moment, while some of them do
// not know yet that it is cold. Performs no I/O; the caller passes in the time.

#ifndef LIBFORWARDING_COLD_PERMITS_H_
#define LIBFORWARDING_COLD_PERMITS_H_

#include <algorithm>
#include <compare>

#include "LibCore/time.h"
#include "LibForwarding/permit_bucket.h"

namespace wasabi::forwarding {

// What a cold endpoint may get within any second: its rate times `factor`, and
// `slack` requests more.
struct ColdPolicy {
  double factor = 1.5;
  double slack = 5;

  auto operator<=>(const ColdPolicy&) const = default;

  // Returns the permits per second that the granting host grants. At most half
  // of what the endpoint may get: the rest is left for hosts that do not know
  // that it is cold, that can't reach the granting host, or that take another
  // host for it.
  double GrantedPerSecond(double per_second) const {
    return std::min(per_second, (per_second * factor + slack) / 2);
  }
  // Returns the requests per second of all hosts that can't reach the granting
  // host. Their turns are spread over time by hashing, so that a second may
  // have twice as many of them.
  double UnaskedPerSecond(double per_second) const {
    return GrantedPerSecond(per_second) / 2;
  }
};

class ColdPermits {
 public:
  // `is_settled` says whether no other host can have granted permits before.
  ColdPermits(bool is_settled, core::TimePoint now)
      : bucket_(is_settled ? 1 : 0, now),
        last_taken_at_(now),
        next_question_at_(now) {}

  // Takes a permit, at `per_second` permits a second. Returns zero if there was
  // one, otherwise the time after which to ask again. Callers that are denied
  // get times of their own, so that questions come at a bounded rate however
  // many hosts ask.
  core::Duration Take(double per_second, core::TimePoint now) {
    last_taken_at_ = now;
    const core::Duration wait = bucket_.Take(per_second, kMaxPermits, now);
    if (wait == core::Duration::zero()) {
      return wait;
    }
    next_question_at_ = std::clamp(next_question_at_, now + wait,
                                   now + std::max(wait, kMaxWait));
    const core::Duration own_wait = next_question_at_ - now;
    next_question_at_ +=
        core::FromSeconds(1 / (per_second * kQuestionsPerPermit));
    return own_wait;
  }

  core::TimePoint last_taken_at() const { return last_taken_at_; }

 private:
  // Permits that are kept while nobody asks. A permit that is kept adds to
  // those of the following second.
  static constexpr double kMaxPermits = 2;
  // Some hosts have no request any more when their time comes.
  static constexpr double kQuestionsPerPermit = 3;
  // Longer waits would leave permits unused in a pool whose endpoints are all
  // cold, where each host has few requests for each endpoint.
  static constexpr core::Duration kMaxWait = core::seconds(1);

  PermitBucket bucket_;
  core::TimePoint last_taken_at_;
  core::TimePoint next_question_at_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_COLD_PERMITS_H_
