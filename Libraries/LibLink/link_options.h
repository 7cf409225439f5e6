// The options of LinkNode.

#ifndef LIBLINK_LINK_OPTIONS_H_
#define LIBLINK_LINK_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "LibCore/event_ring.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"

namespace wasabi::link {

// Calls between daemons with different versions are rejected.
constexpr uint32_t kLinkProtocolVersion = 1;

struct LinkOptions {
  // The TCP address to listen at; port 0 selects a free port. Outgoing
  // connections use the same IP address, since peers check it.
  core::SocketAddress listen_address;
  // The name of this daemon in events.
  std::string local_name;
  // A PING is sent on a connection that has calls in flight and received no
  // bytes for this long.
  core::Duration ping_interval = core::milliseconds(500);
  // A connection is closed if it receives no bytes for this long after a PING.
  // Also the limit for establishing a connection.
  core::Duration silence_limit = core::seconds(2);
  // An outgoing connection without calls in flight is closed after this time.
  core::Duration idle_timeout = core::seconds(60);
  // The maximum size of a request or response message.
  size_t max_message_bytes = size_t{4} << 20U;
  // Only tests change this.
  uint32_t protocol_version = kLinkProtocolVersion;
  // Records events and provides the Lamport clock; may be nullptr, and
  // otherwise must outlive the node.
  core::EventRing* event_ring = nullptr;
};

}  // namespace wasabi::link

#endif  // LIBLINK_LINK_OPTIONS_H_
