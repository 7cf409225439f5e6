// Finds free loopback addresses in 127.0.0.0/8 for processes that a test
// starts.

#ifndef TESTS_SUPPORT_FREE_ADDRESS_H_
#define TESTS_SUPPORT_FREE_ADDRESS_H_

#include <cstdint>
#include <string>

#include "LibCore/socket_address.h"

namespace wasabi::support {

// Returns an IP address in 127.0.0.0/8 that other test processes are unlikely
// to use, since it is derived from the process id and `index` (0 to 199).
std::string LoopbackIp(uint32_t index);

// Returns an address on `ip` whose port is currently free for TCP and UDP, or
// an empty address if there is none.
core::SocketAddress FreeAddress(const std::string& ip);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FREE_ADDRESS_H_
