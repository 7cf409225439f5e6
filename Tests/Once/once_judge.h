// Decides from the records of endpoints and callers which requests ran once too
// often. Knows nothing of hosts.

#ifndef TESTS_ONCE_ONCE_JUDGE_H_
#define TESTS_ONCE_ONCE_JUDGE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "Tests/Once/once_record.h"

namespace wasabi::once {

// A request must not go on at another endpoint while the one before still works
// on it this long after.
inline constexpr core::Duration kMaxOverlap = core::milliseconds(400);

// An endpoint must not work on for longer after the caller has left.
inline constexpr core::Duration kMaxOrphanTime = core::milliseconds(500);

struct Verdict {
  // Requests that may run once and began more often.
  size_t ran_twice = 0;
  // Requests that two endpoints worked on for longer than kMaxOverlap.
  size_t overlapped = 0;
  core::Duration longest_overlap{};
  // Requests that may run once, were refused with the promise that they never
  // run, and began.
  size_t ran_though_refused = 0;
  // Calls whose connection ended without a head, though the request began.
  size_t ran_unanswered = 0;
  // Requests on which an endpoint worked for longer than kMaxOrphanTime after
  // their caller had left.
  size_t ran_for_nobody = 0;
  // One line for each of these.
  std::vector<std::string> details;
};

// `now` counts as the end of work that goes on.
Verdict Judge(const OnceRecord& record, core::TimePoint now);

}  // namespace wasabi::once

#endif  // TESTS_ONCE_ONCE_JUDGE_H_
