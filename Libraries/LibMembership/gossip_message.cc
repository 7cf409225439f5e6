#include "LibMembership/gossip_message.h"

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::membership {

MemberStatus StatusOf(const Member& member) {
  return {member.id.Hash(), member.incarnation, member.state,
          member.applied_offset};
}

std::string WrapDatagram(uint8_t kind, std::string_view body) {
  std::string datagram;
  datagram.reserve(kDatagramPrefixBytes + body.size());
  datagram.push_back(static_cast<char>(kGossipVersion));
  datagram.push_back(static_cast<char>(kind));
  datagram.append(body);
  return datagram;
}

absl::StatusOr<DatagramView> ParseDatagram(std::string_view datagram) {
  if (datagram.size() < kDatagramPrefixBytes ||
      datagram.size() > kMaxDatagramBytes) {
    return core::MakeStatus(
        core::ResultCode::kMalformedMessage,
        fmt::format("datagram size out of range: {} bytes", datagram.size()));
  }
  const auto version = static_cast<uint8_t>(datagram[0]);
  if (version != kGossipVersion) {
    return core::MakeStatus(
        core::ResultCode::kVersionMismatch,
        fmt::format("unsupported gossip version {}", version));
  }
  return DatagramView{static_cast<uint8_t>(datagram[1]),
                      datagram.substr(kDatagramPrefixBytes)};
}

}  // namespace wasabi::membership
