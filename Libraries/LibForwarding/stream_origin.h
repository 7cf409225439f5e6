// What the parts of a stream must have in common: only endpoints of one pool
// and one software version generate parts that can be joined.

#ifndef LIBFORWARDING_STREAM_ORIGIN_H_
#define LIBFORWARDING_STREAM_ORIGIN_H_

#include <compare>
#include <cstdint>

#include "LibCore/identifier.h"
#include "LibForwarding/endpoint.h"

namespace wasabi::forwarding {

// Identifies a stream over the attempts of its caller.
struct StreamKey {
  uint64_t hash = 0;

  auto operator<=>(const StreamKey&) const = default;
};

// Returns the key of the stream whose first event was brought by the attempt
// `first_attempt` of `organisation`.
StreamKey KeyOfStream(const core::OrganisationId& organisation,
                      const core::RequestId& first_attempt);

// The pool and the software version of the endpoint that began a stream.
struct StreamOrigin {
  uint64_t hash = 0;

  auto operator<=>(const StreamOrigin&) const = default;
};

StreamOrigin OriginOf(const Endpoint& endpoint);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_STREAM_ORIGIN_H_
