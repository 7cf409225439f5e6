// What a caller needs of the endpoint that serves its request.

#ifndef LIBFORWARDING_CALLER_NEEDS_H_
#define LIBFORWARDING_CALLER_NEEDS_H_

#include <compare>
#include <cstdint>

#include "LibCore/time.h"

namespace wasabi::forwarding {

struct CallerNeeds {
  // Target time until the first event of a stream, or until the whole answer of
  // a plain call; zero if there is none.
  core::Duration latency_objective{};
  // Target for the longest time between two events; zero if there is none.
  core::Duration gap_objective{};
  bool is_stream = false;
  // Tokens of the prompt that no endpoint has cached.
  uint32_t uncached_tokens = 0;

  auto operator<=>(const CallerNeeds&) const = default;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_CALLER_NEEDS_H_
