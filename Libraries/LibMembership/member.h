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

}  // namespace wasabi::membership

MSGPACK_ADD_ENUM(wasabi::membership::MemberRole);
MSGPACK_ADD_ENUM(wasabi::membership::MemberState);

namespace wasabi::membership {

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
  // Grows with every restart (the upper bits, see Generation) and with every
  // refuted suspicion.
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  // Offset of the last configuration record that the daemon has applied, or -1.
  int64_t applied_offset = -1;

  auto operator<=>(const Member&) const = default;
  MSGPACK_DEFINE(id,
                 data_centre,
                 role,
                 gossip_address,
                 link_address,
                 http_address,
                 incarnation,
                 state,
                 applied_offset);
};

// Bits of an incarnation that count refuted suspicions.
constexpr unsigned kRefutationBits = 16;

// The part of an incarnation that only a restart changes. Records of one
// generation differ in state and offset only, never in addresses.
constexpr uint64_t GenerationOf(uint64_t incarnation) {
  return incarnation >> kRefutationBits;
}

// The first incarnation of a generation.
constexpr uint64_t FirstIncarnation(uint64_t generation) {
  return generation << kRefutationBits;
}

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_MEMBER_H_
