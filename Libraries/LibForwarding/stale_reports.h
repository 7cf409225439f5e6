// From which interval on load reports are too old to steer by alone.

#ifndef LIBFORWARDING_STALE_REPORTS_H_
#define LIBFORWARDING_STALE_REPORTS_H_

#include "LibCore/time.h"

namespace wasabi::forwarding {

// About half of the time that a short answer takes: in a longer interval an
// endpoint's load can double before any host hears of it.
inline constexpr core::Duration kStaleReportInterval = core::milliseconds(500);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_STALE_REPORTS_H_
