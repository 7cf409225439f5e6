// The append rate that the log service admits, as a token bucket.

#ifndef TESTS_SUPPORT_PLATFORM_APPEND_LIMIT_H_
#define TESTS_SUPPORT_PLATFORM_APPEND_LIMIT_H_

#include "LibCore/time.h"

namespace wasabi::standin {

class AppendLimit {
 public:
  // Admits `per_second` appends per second and bursts of as many; 0 admits all.
  explicit AppendLimit(double per_second);

  // Takes one append from the bucket; false when it is empty.
  bool Admit(core::TimePoint now);

 private:
  const double per_second_;
  double tokens_;
  core::TimePoint refilled_at_;
};

}  // namespace wasabi::standin

#endif  // TESTS_SUPPORT_PLATFORM_APPEND_LIMIT_H_
