// Describes one daemon of the fleet, as stored in the member table and
// exchanged by gossip.

#ifndef LIBMEMBERSHIP_MEMBER_H_
#define LIBMEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>

#include "LibCore/identifier.h"
#include "LibCore/socket_address.h"

namespace wasabi::membership {

enum class MemberRole : uint8_t { kRouter, kControl };

// If two updates have the same incarnation, the higher state takes precedence.
// kGone means that the member was declared dead after its suspicion timed out.
enum class MemberState : uint8_t { kAlive, kSuspect, kLeaving, kGone };

}  // namespace wasabi::membership

MSGPACK_ADD_ENUM(wasabi::membership::MemberRole);
MSGPACK_ADD_ENUM(wasabi::membership::MemberState);

namespace wasabi::membership {

struct Member {
  core::HostId id;
  core::DataCentreId data_centre;
  MemberRole role = MemberRole::kRouter;
  // UDP address for gossip and probes.
  core::SocketAddress gossip_address;
  // TCP address for links between daemons.
  core::SocketAddress link_address;
  // TCP address for callers (on routers) or operators (on control daemons).
  core::SocketAddress http_address;
  // Increases with every restart (the upper bits; see GenerationOf) and with
  // every refuted suspicion (the lower bits).
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  // Offset of the last configuration record that the daemon has applied, or -1
  // if it has applied none.
  int64_t applied_offset = -1;
  // Capacity of the daemon's network link in Mbit/s; 0 if unknown.
  uint32_t link_mbps = 0;

  auto operator<=>(const Member&) const = default;
  MSGPACK_DEFINE(id,
                 data_centre,
                 role,
                 gossip_address,
                 link_address,
                 http_address,
                 incarnation,
                 state,
                 applied_offset,
                 link_mbps);
};

// Number of low bits of an incarnation that count refuted suspicions.
constexpr unsigned kRefutationBits = 16;

// Returns the part of an incarnation that changes only with a restart. Records
// of the same generation may differ in refutations, state and offset, but never
// in addresses.
constexpr uint64_t GenerationOf(uint64_t incarnation) {
  return incarnation >> kRefutationBits;
}

// Returns the first incarnation of a generation.
constexpr uint64_t FirstIncarnation(uint64_t generation) {
  return generation << kRefutationBits;
}

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_MEMBER_H_
