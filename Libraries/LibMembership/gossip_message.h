// Datagrams of the membership protocol. Each consists of a version byte, a kind
// byte and a message encoded in MessagePack.

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
// Fits into one Ethernet frame, which avoids IP fragmentation.
constexpr size_t kMaxDatagramBytes = 1400;
// Size of the version and kind bytes.
constexpr size_t kDatagramPrefixBytes = 2;
// Size of the IP and UDP headers, which rate limits and byte counters include.
constexpr size_t kDatagramHeaderBytes = 28;

enum class DatagramKind : uint8_t {
  kProbe = 1,
  kAck = 2,
  kIndirectProbe = 3,
  kGossip = 4,
  kPull = 5,
  kRecords = 6,
  // Kinds from this value on are reserved for other modules; see
  // ApplicationKind.
  kFirstApplication = 64,
};

// The fields of a member that can change within one generation.
struct MemberStatus {
  // core::HostId::Hash() of the member's id.
  uint64_t id_hash = 0;
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  int64_t applied_offset = -1;

  auto operator<=>(const MemberStatus&) const = default;
  MSGPACK_DEFINE(id_hash, incarnation, state, applied_offset);
};

MemberStatus StatusOf(const Member& member);

// Member updates that are piggybacked on messages.
struct Updates {
  std::vector<MemberStatus> statuses;
  std::vector<Member> records;

  MSGPACK_DEFINE(statuses, records);
};

// Requests an AckMessage with the same sequence number from the member
// `target`.
struct ProbeMessage {
  uint32_t sequence = 0;
  // Id hash of the probed member.
  uint64_t target = 0;
  Updates updates;

  MSGPACK_DEFINE(sequence, target, updates);
};

struct AckMessage {
  uint32_t sequence = 0;
  Updates updates;

  MSGPACK_DEFINE(sequence, updates);
};

// Requests that the receiver probe the member `target` on behalf of the sender.
struct IndirectProbeMessage {
  uint32_t sequence = 0;
  // Id hash of the member to probe.
  uint64_t target = 0;

  MSGPACK_DEFINE(sequence, target);
};

struct GossipMessage {
  Updates updates;

  MSGPACK_DEFINE(updates);
};

// Starts an anti-entropy exchange: requests the records in all parts of the
// member table whose digests differ.
struct PullMessage {
  // Number of present members in the sender's table, including the sender.
  uint32_t known = 0;
  // One digest for each part of the sender's table; kDigestParts in total.
  std::vector<uint32_t> digests;
  // Id hashes of members whose records the sender is missing.
  std::vector<uint64_t> wanted;
  Updates updates;

  MSGPACK_DEFINE(known, digests, wanted, updates);
};

// The response to a PullMessage, possibly split over several datagrams.
struct RecordsMessage {
  std::vector<Member> records;

  MSGPACK_DEFINE(records);
};

// Prepends the version and `kind` bytes to an encoded message.
std::string WrapDatagram(uint8_t kind, std::string_view body);

template <typename Message>
std::string ToDatagram(DatagramKind kind, const Message& message) {
  return WrapDatagram(static_cast<uint8_t>(kind), core::Encode(message));
}

// A parsed datagram with valid size and version. `body` points into the
// datagram.
struct DatagramView {
  uint8_t kind = 0;
  std::string_view body;
};

// Returns kMalformedMessage if the size is out of range and kVersionMismatch if
// the version is unsupported.
absl::StatusOr<DatagramView> ParseDatagram(std::string_view datagram);

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_GOSSIP_MESSAGE_H_
