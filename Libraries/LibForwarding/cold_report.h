// Messages about cold endpoints: endpoints that have just started and tolerate
// only a low rate of requests from all hosts together.

#ifndef LIBFORWARDING_COLD_REPORT_H_
#define LIBFORWARDING_COLD_REPORT_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "LibCore/message.h"

namespace wasabi::forwarding {

// The cold state of an endpoint, as one host knows it. Times are relative, so
// that hosts need no common clock.
struct ColdReport {
  // Hash of the endpoint's id.
  uint64_t endpoint = 0;
  // Requests per second that the endpoint tolerates while it is cold.
  double per_second = 0;
  // Time for which the endpoint stays cold; 0 if it is not known to be cold.
  int64_t left_milliseconds = 0;

  auto operator<=>(const ColdReport&) const = default;
  MSGPACK_DEFINE(endpoint, per_second, left_milliseconds);
};

// The endpoints that are cold at the same rate for the same time, as those of a
// data centre that returns. Endpoints are named by ColdNews::KeyOf.
struct ColdGroup {
  double per_second = 0;
  int64_t left_milliseconds = 0;
  std::vector<uint32_t> endpoints;

  MSGPACK_DEFINE(per_second, left_milliseconds, endpoints);
};

struct ColdReports {
  std::vector<ColdGroup> groups;

  MSGPACK_DEFINE(groups);
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_COLD_REPORT_H_
