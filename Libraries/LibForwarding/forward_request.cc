#include "LibForwarding/forward_request.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

// An answer is due this long before the caller stops waiting.
constexpr core::Duration kAnswerMargin = core::milliseconds(5);

}  // namespace

core::TimePoint ForwardRequest::AnswerDue() const {
  return std::min(deadline - kAnswerMargin, received_at + route->timeout);
}

}  // namespace wasabi::forwarding
