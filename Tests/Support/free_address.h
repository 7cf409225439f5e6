// Free addresses of 127.0.0.0/8 for processes that a test starts.

#ifndef TESTS_SUPPORT_FREE_ADDRESS_H_
#define TESTS_SUPPORT_FREE_ADDRESS_H_

#include <cstdint>
#include <string>

#include "LibCore/socket_address.h"

namespace wasabi::support {

// An IP number of 127.0.0.0/8 that other test processes are unlikely to use:
// it is taken from the process id and `index` (from 0 to 199).
std::string LoopbackIp(uint32_t index);

// An address on `ip` whose port is free for TCP and for UDP now.
core::SocketAddress FreeAddress(const std::string& ip);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FREE_ADDRESS_H_
