// Describes an endpoint as stated in its registration.

#ifndef LIBFORWARDING_ENDPOINT_H_
#define LIBFORWARDING_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "LibCore/identifier.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"

namespace wasabi::forwarding {

struct Endpoint {
  core::RunnerId id;
  core::PoolId pool;
  core::SocketAddress address;
  core::DataCentreId data_centre;
  // Number of requests that the endpoint processes concurrently.
  uint32_t slots = 1;
  // The endpoint accepts no new requests and is about to exit.
  bool is_leaving = false;
  // Unix time in milliseconds at which the endpoint started, or 0 if unknown.
  // An endpoint that restarts under the same id has lost its caches and its
  // running requests.
  int64_t started_at_ms = 0;
  // Version of the endpoint's software, not of its model's weights. What two
  // versions generate can't be joined.
  std::string software_version;

  auto operator<=>(const Endpoint&) const = default;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_H_
