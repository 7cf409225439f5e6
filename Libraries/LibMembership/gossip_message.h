// The datagrams of the membership protocol: one version byte, one kind byte,
// then the message in MessagePack.

#ifndef LIBMEMBERSHIP_GOSSIP_MESSAGE_H_
#define LIBMEMBERSHIP_GOSSIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/message.h"
#include "LibMembership/member.h"
#include "absl/status/statusor.h"

namespace wasabi::membership {

constexpr uint8_t kGossipVersion = 1;
// Fits an Ethernet frame, so that datagrams are never fragmented.
constexpr size_t kMaxDatagramBytes = 1400;
// The version and the kind.
constexpr size_t kDatagramPrefixBytes = 2;
// IP and UDP headers, which byte counters include.
constexpr size_t kDatagramHeaderBytes = 28;

enum class DatagramKind : uint8_t {
  kProbe = 1,
  kAck = 2,
  kIndirectProbe = 3,
  kGossip = 4,
  kPull = 5,
  kRecords = 6,
  // This and higher kinds belong to other modules.
  kFirstApplication = 64,
};

// What changes about a member within one generation.
struct MemberStatus {
  // core::HostId::Hash of the member.
  uint64_t id_hash = 0;
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  int64_t applied_offset = -1;

  auto operator<=>(const MemberStatus&) const = default;
  MSGPACK_DEFINE(id_hash, incarnation, state, applied_offset);
};

MemberStatus StatusOf(const Member& member);

// News about members that rides on every message.
struct Updates {
  std::vector<MemberStatus> statuses;
  std::vector<Member> records;

  MSGPACK_DEFINE(statuses, records);
};

// Asks `target` for an Ack with the same sequence.
struct ProbeMessage {
  uint32_t sequence = 0;
  uint64_t target = 0;
  Updates updates;

  MSGPACK_DEFINE(sequence, target, updates);
};

struct AckMessage {
  uint32_t sequence = 0;
  Updates updates;

  MSGPACK_DEFINE(sequence, updates);
};

// Asks the receiver to probe `target` for the sender.
struct IndirectProbeMessage {
  uint32_t sequence = 0;
  uint64_t target = 0;

  MSGPACK_DEFINE(sequence, target);
};

struct GossipMessage {
  Updates updates;

  MSGPACK_DEFINE(updates);
};

// Asks for the records in the parts of the table that differ.
struct PullMessage {
  // Members that the sender knows, itself included.
  uint32_t known = 0;
  // Digests of the parts of the sender's table.
  std::vector<uint32_t> digests;
  // Id hashes of members whose records the sender misses.
  std::vector<uint64_t> wanted;
  Updates updates;

  MSGPACK_DEFINE(known, digests, wanted, updates);
};

struct RecordsMessage {
  std::vector<Member> records;

  MSGPACK_DEFINE(records);
};

// A datagram of `kind` around an encoded message.
std::string WrapDatagram(uint8_t kind, std::string_view body);

template <typename Message>
std::string ToDatagram(DatagramKind kind, const Message& message) {
  return WrapDatagram(static_cast<uint8_t>(kind), core::Encode(message));
}

// A datagram whose size and version are checked.
struct DatagramView {
  uint8_t kind = 0;
  std::string_view body;
};

// Errors: kMalformedMessage for a size out of range, kVersionMismatch.
absl::StatusOr<DatagramView> ParseDatagram(std::string_view datagram);

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_GOSSIP_MESSAGE_H_
