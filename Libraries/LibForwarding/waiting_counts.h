// Tells the hosts of a fleet how many requests wait for each pool, by priority
// and for the organisations with the most waiting ones. The counts travel in
// the load reports under keys of their own, which older builds sum and ignore.

#ifndef LIBFORWARDING_WAITING_COUNTS_H_
#define LIBFORWARDING_WAITING_COUNTS_H_

#include <cstdint>
#include <map>

#include "LibCore/identifier.h"
#include "LibCore/random_source.h"
#include "LibForwarding/endpoint_counts.h"
#include "LibForwarding/load_table.h"
#include "LibForwarding/wait_queue.h"
#include "LibRouting/work_item.h"

namespace wasabi::forwarding {

// Reported counts and sums have 8 bits and saturate. A count is therefore
// reported twice: as it is, and in units of kCoarseUnit, rounded at random so
// that the sum over many hosts with few requests each is right on average.
inline constexpr uint32_t kCoarseUnit = 16;

// Returns this host's counts for the load reports.
EndpointCounts WaitingCountsOf(const WaitQueue& queue,
                               core::RandomSource& random);

// Returns how many requests wait for a pool on other hosts, by priority.
std::map<routing::Priority, double> WaitingElsewhere(const LoadTable& loads,
                                                     const core::PoolId& pool);

// Returns how many requests of an organisation wait for a pool on other hosts;
// zero if the organisation is not among the largest anywhere.
double WaitingElsewhere(const LoadTable& loads,
                        const core::PoolId& pool,
                        const core::OrganisationId& organisation);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_WAITING_COUNTS_H_
