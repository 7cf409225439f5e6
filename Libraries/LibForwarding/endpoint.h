// An endpoint as its registration describes it.

#ifndef LIBFORWARDING_ENDPOINT_H_
#define LIBFORWARDING_ENDPOINT_H_

#include <compare>
#include <cstdint>

#include "LibCore/identifier.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"

namespace wasabi::forwarding {

struct Endpoint {
  core::RunnerId id;
  core::PoolId pool;
  core::SocketAddress address;
  core::DataCentreId data_centre;
  // Requests that it processes at once.
  uint32_t slots = 1;
  // It takes no new work and will exit.
  bool is_leaving = false;
  // Unix time of its start in milliseconds, 0 where unknown. An endpoint that
  // starts again under its id has lost its caches and its work.
  int64_t started_at_ms = 0;

  auto operator<=>(const Endpoint&) const = default;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_H_
