// What host_faults_preload.cc does to a host: the block is mapped from a file
// that the test writes to.

#ifndef TESTS_ONCE_HOST_FAULTS_H_
#define TESTS_ONCE_HOST_FAULTS_H_

#include <atomic>
#include <cstdint>

namespace wasabi::once {

struct HostFaults {
  // New connections to this port are refused; 0 if none are.
  std::atomic<uint32_t> refused_port{0};
  // Added to the time of day.
  std::atomic<int64_t> clock_offset_ms{0};
};

// Names the file in the environment of a host.
inline constexpr const char* kHostFaultsVariable = "WASABI_HOST_FAULTS";

}  // namespace wasabi::once

#endif  // TESTS_ONCE_HOST_FAULTS_H_
