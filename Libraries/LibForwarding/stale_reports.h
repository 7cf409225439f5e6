// Defines the report interval from which load reports are too stale to be the
// only basis of decisions.

#ifndef LIBFORWARDING_STALE_REPORTS_H_
#define LIBFORWARDING_STALE_REPORTS_H_

#include "LibCore/time.h"

namespace wasabi::forwarding {

// Reports at this interval or a longer one arrive too late to spread hot
// prompts.
inline constexpr core::Duration kStaleReportInterval = core::milliseconds(500);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_STALE_REPORTS_H_
