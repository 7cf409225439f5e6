// Message about the pace of endpoints.

#ifndef LIBFORWARDING_PACE_REPORT_H_
#define LIBFORWARDING_PACE_REPORT_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "LibCore/message.h"

namespace wasabi::forwarding {

// The pace of one endpoint, as one host has observed it. Takes 14 bytes at most
// on the wire: hundreds of endpoints may be slow at once.
struct PaceReport {
  // See EndpointKeyOf.
  uint32_t endpoint = 0;
  // Time that work takes there, in hundredths of what is usual in its pool.
  uint32_t pace_percent = 100;
  // Time since the observation in milliseconds, on the sender's clock.
  uint32_t age_milliseconds = 0;

  auto operator<=>(const PaceReport&) const = default;
  MSGPACK_DEFINE(endpoint, pace_percent, age_milliseconds);
};

struct PaceReports {
  std::vector<PaceReport> paces;

  MSGPACK_DEFINE(paces);
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PACE_REPORT_H_
