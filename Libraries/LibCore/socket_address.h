// An IPv4 address and a port.

#ifndef LIBCORE_SOCKET_ADDRESS_H_
#define LIBCORE_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/message.h"
#include "absl/status/statusor.h"

namespace wasabi::core {

class SocketAddress {
 public:
  SocketAddress() = default;
  // `ip` is in host byte order.
  SocketAddress(uint32_t ip, uint16_t port) : ip_(ip), port_(port) {}

  // Parses text such as "127.0.0.1:8080". Error:
  // ResultCode::kSettingsOutOfRange.
  static absl::StatusOr<SocketAddress> Parse(std::string_view text);
  static SocketAddress FromNative(const sockaddr_in& native);

  std::string ToString() const;
  sockaddr_in ToNative() const;
  // Returns the IPv4 address in host byte order.
  uint32_t ip() const { return ip_; }
  uint16_t port() const { return port_; }
  bool empty() const { return port_ == 0; }

  auto operator<=>(const SocketAddress&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const SocketAddress& it) {
    return H::combine(std::move(state), it.ip_, it.port_);
  }

  MSGPACK_DEFINE(ip_, port_);

 private:
  uint32_t ip_ = 0;
  uint16_t port_ = 0;
};

}  // namespace wasabi::core

#endif  // LIBCORE_SOCKET_ADDRESS_H_
