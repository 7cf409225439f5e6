#include "Tests/Support/Platform/append_limit.h"

#include <algorithm>

namespace wasabi::standin {

AppendLimit::AppendLimit(double per_second)
    : per_second_(per_second), tokens_(per_second) {}

bool AppendLimit::Admit(core::TimePoint now) {
  if (per_second_ <= 0) {
    return true;
  }
  const double elapsed = core::ToSeconds(now - refilled_at_);
  tokens_ = std::min(per_second_, tokens_ + elapsed * per_second_);
  refilled_at_ = now;
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace wasabi::standin
