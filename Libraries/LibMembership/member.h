// One daemon of the fleet as the member table shows it.

#ifndef LIBMEMBERSHIP_MEMBER_H_
#define LIBMEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>

#include "LibCore/identifier.h"
#include "LibCore/socket_address.h"

namespace wasabi::membership {

enum class MemberRole : uint8_t { kRouter, kControl };

// The order is that of precedence at equal incarnations.
enum class MemberState : uint8_t { kAlive, kSuspect, kLeaving, kGone };

struct Member {
  core::HostId id;
  core::DataCentreId data_centre;
  MemberRole role = MemberRole::kRouter;
  // UDP, for gossip and probes.
  core::SocketAddress gossip_address;
  // TCP, for links between daemons.
  core::SocketAddress link_address;
  // TCP, for callers (routers) or operators (control daemons).
  core::SocketAddress http_address;
  // Grows with every restart and every refuted suspicion.
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  // Offset of the last configuration record that the daemon has applied, or -1.
  int64_t applied_offset = -1;

  auto operator<=>(const Member&) const = default;
};

}  // namespace wasabi::membership

MSGPACK_ADD_ENUM(wasabi::membership::MemberRole);
MSGPACK_ADD_ENUM(wasabi::membership::MemberState);

#endif  // LIBMEMBERSHIP_MEMBER_H_
