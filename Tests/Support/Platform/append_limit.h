// A token bucket that limits the append rate of the simulated log service.

#ifndef TESTS_SUPPORT_PLATFORM_APPEND_LIMIT_H_
#define TESTS_SUPPORT_PLATFORM_APPEND_LIMIT_H_

#include "LibCore/time.h"

namespace wasabi::standin {

class AppendLimit {
 public:
  // Admits `per_second` appends per second and bursts of the same number. 0
  // means no limit.
  explicit AppendLimit(double per_second);

  // Consumes one token. Returns false if the bucket is empty.
  bool Admit(core::TimePoint now);

 private:
  const double per_second_;
  double tokens_;
  core::TimePoint refilled_at_;
};

}  // namespace wasabi::standin

#endif  // TESTS_SUPPORT_PLATFORM_APPEND_LIMIT_H_
