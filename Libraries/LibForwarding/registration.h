// A registration of an endpoint, as written by the endpoint.

#ifndef LIBFORWARDING_REGISTRATION_H_
#define LIBFORWARDING_REGISTRATION_H_

#include <compare>
#include <cstdint>

#include "LibForwarding/endpoint.h"

namespace wasabi::forwarding {

struct Registration {
  Endpoint endpoint;
  // Increases with each write of the endpoint until it restarts.
  int64_t sequence = 0;
  // Time for which the endpoint still was cold when it wrote the registration;
  // zero if it states none.
  core::Duration cold_left{};

  auto operator<=>(const Registration&) const = default;
};

// Returns whether `later`, which was read after `earlier`, was also written
// after it. The order can differ because a write whose answer was lost can take
// effect after the writes that follow it.
constexpr bool IsNewer(const Registration& later, const Registration& earlier) {
  if (later.endpoint.started_at_ms != earlier.endpoint.started_at_ms) {
    return later.endpoint.started_at_ms > earlier.endpoint.started_at_ms;
  }
  return later.sequence >= earlier.sequence;
}

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_REGISTRATION_H_
