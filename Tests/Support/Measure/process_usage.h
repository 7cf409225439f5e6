// Reads the CPU time of other processes.

#ifndef TESTS_SUPPORT_MEASURE_PROCESS_USAGE_H_
#define TESTS_SUPPORT_MEASURE_PROCESS_USAGE_H_

#include <sys/types.h>

#include <optional>

#include "LibCore/time.h"

namespace wasabi::support {

// Returns the user plus system time that the process `pid` has used, or nullopt
// if there is no such process.
std::optional<core::Duration> CpuTimeOf(pid_t pid);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_MEASURE_PROCESS_USAGE_H_
