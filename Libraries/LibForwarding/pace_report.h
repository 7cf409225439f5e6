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

// What a message of reports is for.
enum class PacePurpose : uint8_t {
  // From a build that does not spread reports for others.
  kNone = 0,
  // News; the sender spreads reports if asked to.
  kNews = 1,
  // The receiver is asked to send the reports to all hosts of its data centre.
  kSpread = 2,
  // Every host of the data centre gets these reports.
  kSpreadAlready = 3,
};

struct PaceReports {
  std::vector<PaceReport> paces;
  // A PacePurpose; receivers take unknown ones for kNone. Builds that do not
  // know this field omit it, and ignore it.
  uint8_t purpose = 0;

  MSGPACK_DEFINE(paces, purpose);
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PACE_REPORT_H_
