// Tells which calls were cut although only planned work went on. Does no I/O
// and reads no clock.

#ifndef TESTS_SOAK_PLANNED_WORK_H_
#define TESTS_SOAK_PLANNED_WORK_H_

#include <memory>
#include <vector>

#include "Tests/Soak/history.h"
#include "Tests/Soak/soak_options.h"

namespace wasabi::soak {

// Returns true if `call` was cut, was read before by its host or may have been,
// and neither a fault nor the deadline explains that. `runs` are the runs of
// the call that an endpoint started. At the end of a stop a host may cut a call
// that was sent no later than 3 s after the SIGTERM and whose endpoint was
// still at work in the last sixth of the grace period.
bool IsCutByPlannedWork(
    const Call& call,
    const std::vector<std::shared_ptr<support::EndpointRun>>& runs,
    const History& history,
    const Bounds& bounds);

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_PLANNED_WORK_H_
