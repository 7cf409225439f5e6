// Gathers what this host knows of the room in a pool and of the requests that
// wait for it, for LibRouting/pool_admission.h.

#ifndef LIBFORWARDING_POOL_OUTLOOK_H_
#define LIBFORWARDING_POOL_OUTLOOK_H_

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/forward_context.h"
#include "LibRouting/pool_admission.h"

namespace wasabi::forwarding {

// Returns the outlook on a pool. While no counts of other hosts are known, it
// covers this host's own share of the places and its own requests.
routing::PoolOutlook OutlookOf(const ForwardContext& context,
                               const core::PoolId& pool,
                               core::TimePoint now);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_POOL_OUTLOOK_H_
