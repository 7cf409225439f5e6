// Messages about the rate limits that overloaded endpoints announce: requests
// per second that they accept from all hosts together.

#ifndef LIBFORWARDING_ENDPOINT_LIMIT_H_
#define LIBFORWARDING_ENDPOINT_LIMIT_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "LibCore/message.h"
#include "LibForwarding/cold_report.h"

namespace wasabi::forwarding {

// The rate limit of an endpoint, as one host knows it.
struct LimitReport {
  // Hash of the endpoint's id.
  uint64_t endpoint = 0;
  // Requests per second; 0 if the limit has ended.
  double per_second = 0;
  // Time since the endpoint announced it in milliseconds, on the sender's
  // clock.
  int64_t age_milliseconds = 0;

  auto operator<=>(const LimitReport&) const = default;
  MSGPACK_DEFINE(endpoint, per_second, age_milliseconds);
};

struct LimitReports {
  std::vector<LimitReport> limits;

  MSGPACK_DEFINE(limits);
};

// Asks the host that grants the permits of an endpoint for one.
struct PermitQuestion {
  uint64_t sequence = 0;
  LimitReport limit;
  // What the sender knows of the endpoint's cold state. Older builds neither
  // send nor read it.
  ColdReport cold = {};

  MSGPACK_DEFINE(sequence, limit, cold);
};

struct PermitAnswer {
  uint64_t sequence = 0;
  bool is_granted = false;
  // The sender does not grant the permits of this endpoint.
  bool is_misdirected = false;
  // Time until the next permit, if none was granted.
  int64_t wait_milliseconds = 0;
  // What the sender knows of the limit.
  LimitReport limit;
  // What the sender knows of the endpoint's cold state. An answer of an older
  // build lacks it, so it never grants a permit for a cold endpoint.
  ColdReport cold = {};

  MSGPACK_DEFINE(sequence,
                 is_granted,
                 is_misdirected,
                 wait_milliseconds,
                 limit,
                 cold);
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_LIMIT_H_
