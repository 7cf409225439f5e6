// One registration of an endpoint, as the endpoint wrote it.

#ifndef LIBFORWARDING_REGISTRATION_H_
#define LIBFORWARDING_REGISTRATION_H_

#include <compare>
#include <cstdint>

#include "LibForwarding/endpoint.h"

namespace wasabi::forwarding {

struct Registration {
  Endpoint endpoint;
  // Grows with each write of one start of the endpoint.
  int64_t sequence = 0;

  auto operator<=>(const Registration&) const = default;
};

// Whether `later`, which was read after `earlier`, was also written after it. A
// write whose answer was lost can take effect after the ones that follow it.
constexpr bool IsNewer(const Registration& later, const Registration& earlier) {
  if (later.endpoint.started_at_ms != earlier.endpoint.started_at_ms) {
    return later.endpoint.started_at_ms > earlier.endpoint.started_at_ms;
  }
  return later.sequence >= earlier.sequence;
}

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_REGISTRATION_H_
