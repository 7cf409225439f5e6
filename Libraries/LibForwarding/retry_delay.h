// Delays after which refused callers may retry (`Retry-After`). With load
// control, a delay follows the room that the pool is expected to have;
// otherwise it is random, so that refused callers do not return all at once.

#ifndef LIBFORWARDING_RETRY_DELAY_H_
#define LIBFORWARDING_RETRY_DELAY_H_

#include "LibCore/identifier.h"
#include "LibCore/random_source.h"
#include "LibCore/time.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"
#include "LibRouting/work_item.h"

namespace wasabi::forwarding {

// Returns the delay of a request without load control.
core::Duration RandomRetryDelay(core::RandomSource* random);

// Returns the delay of a request to `pool` with load control, and reserves its
// return time. `item` is what the order of waiting depends on.
core::Duration PacedRetryDelay(ForwardContext* context,
                               const ForwardRequest& request,
                               const core::PoolId& pool,
                               const routing::WorkItem& item);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_RETRY_DELAY_H_
