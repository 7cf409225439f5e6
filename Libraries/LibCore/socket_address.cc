#include "LibCore/socket_address.h"

#include <arpa/inet.h>

#include <array>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::core {

absl::StatusOr<SocketAddress> SocketAddress::Parse(std::string_view text) {
  const absl::Status error =
      MakeStatus(ResultCode::kSettingsOutOfRange,
                 fmt::format("{} is not an IPv4 address and a port", text));
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return error;
  }
  in_addr ip{};
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) !=
      1) {
    return error;
  }
  constexpr uint32_t kMaxPort = 65535;
  const auto port = ParseNumber<uint32_t>(text.substr(colon + 1));
  if (!port || *port > kMaxPort) {
    return error;
  }
  SocketAddress address;
  address.ip_ = ntohl(ip.s_addr);
  address.port_ = static_cast<uint16_t>(*port);
  return address;
}

SocketAddress SocketAddress::FromNative(const sockaddr_in& native) {
  SocketAddress address;
  address.ip_ = ntohl(native.sin_addr.s_addr);
  address.port_ = ntohs(native.sin_port);
  return address;
}

std::string SocketAddress::ToString() const {
  std::array<char, INET_ADDRSTRLEN> buf{};
  const in_addr ip{htonl(ip_)};
  inet_ntop(AF_INET, &ip, buf.data(), buf.size());
  return fmt::format("{}:{}", buf.data(), port_);
}

sockaddr_in SocketAddress::ToNative() const {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_addr.s_addr = htonl(ip_);
  native.sin_port = htons(port_);
  return native;
}

}  // namespace wasabi::core
