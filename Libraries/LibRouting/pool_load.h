// The demand on a pool: owners report the demand on their runners, and
// aggregators add up these reports.

#ifndef LIBROUTING_POOL_LOAD_H_
#define LIBROUTING_POOL_LOAD_H_

#include <compare>
#include <cstdint>

#include "LibCore/message.h"

namespace wasabi::routing {

// Demand on one or more runners of a pool. It includes queued and refused
// requests, because a load cap derived from admitted work alone could never
// rise again.
struct PoolDemand {
  // Number of runners included.
  uint32_t runners = 0;
  // Number of requests that are running, queued, or were refused recently.
  double requests = 0;
  // Outstanding work of these requests, in tokens.
  double tokens = 0;

  auto operator<=>(const PoolDemand&) const = default;
  MSGPACK_DEFINE(runners, requests, tokens);

  PoolDemand operator+(const PoolDemand& other) const {
    return {runners + other.runners, requests + other.requests,
            tokens + other.tokens};
  }
  // Return the mean per runner, or 0 if no runners are included.
  double MeanRequests() const { return runners == 0 ? 0 : requests / runners; }
  double MeanTokens() const { return runners == 0 ? 0 : tokens / runners; }
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_POOL_LOAD_H_
