// Processor time of other processes.

#ifndef TESTS_SUPPORT_MEASURE_PROCESS_USAGE_H_
#define TESTS_SUPPORT_MEASURE_PROCESS_USAGE_H_

#include <sys/types.h>

#include <optional>

#include "LibCore/time.h"

namespace wasabi::support {

// User and system time that the process `pid` has used; nullopt where there is
// no such process.
std::optional<core::Duration> ProcessorTimeOf(pid_t pid);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_MEASURE_PROCESS_USAGE_H_
