// Limits and addresses of a LinkNode.

#ifndef LIBLINK_LINK_OPTIONS_H_
#define LIBLINK_LINK_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "LibCore/event_ring.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"

namespace wasabi::link {

// Both ends of a call must speak the same version.
constexpr uint32_t kLinkProtocolVersion = 1;

struct LinkOptions {
  // TCP address to listen at; port 0 takes a free one. Outgoing connections
  // start from the same IP number, which is what peers check.
  core::SocketAddress listen_address;
  // Name of this daemon in events.
  std::string local_name;
  // A connection with calls in flight that was silent for this long gets a
  // PING.
  core::Duration ping_interval = core::milliseconds(500);
  // A connection that stays silent for this long after a PING is closed. It
  // bounds the time to connect as well.
  core::Duration silence_limit = core::seconds(2);
  // An outgoing connection without calls is closed after this time.
  core::Duration idle_limit = core::seconds(60);
  // Largest request or answer message in bytes.
  size_t max_message_bytes = size_t{4} << 20U;
  // Other than the default only in tests.
  uint32_t protocol_version = kLinkProtocolVersion;
  // Where events and Lamport stamps go, or nullptr.
  core::EventRing* event_ring = nullptr;
};

}  // namespace wasabi::link

#endif  // LIBLINK_LINK_OPTIONS_H_
