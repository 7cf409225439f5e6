// The load of a pool, as owners report it and aggregators add it up.

#ifndef LIBROUTING_POOL_LOAD_H_
#define LIBROUTING_POOL_LOAD_H_

#include <compare>
#include <cstdint>

#include "LibCore/message.h"

namespace wasabi::routing {

// Demand on some runners of a pool. Waiting and refused demand counts, since a
// cap derived from admitted work alone could never rise again.
struct PoolDemand {
  // Runners that are counted in.
  uint32_t runners = 0;
  // Requests that run, wait, or were refused lately.
  double requests = 0;
  // Their outstanding work, in tokens.
  double tokens = 0;

  auto operator<=>(const PoolDemand&) const = default;
  MSGPACK_DEFINE(runners, requests, tokens);

  PoolDemand operator+(const PoolDemand& other) const {
    return {runners + other.runners, requests + other.requests,
            tokens + other.tokens};
  }
  double MeanRequests() const { return runners == 0 ? 0 : requests / runners; }
  double MeanTokens() const { return runners == 0 ? 0 : tokens / runners; }
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_POOL_LOAD_H_
