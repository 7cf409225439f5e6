// From which interval on load reports are too old to steer by alone.

#ifndef LIBFORWARDING_STALE_REPORTS_H_
#define LIBFORWARDING_STALE_REPORTS_H_

#include "LibCore/time.h"

namespace wasabi::forwarding {

// Reports at this interval or a longer one don't spread hot prompts in time.
inline constexpr core::Duration kStaleReportInterval = core::milliseconds(500);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_STALE_REPORTS_H_
