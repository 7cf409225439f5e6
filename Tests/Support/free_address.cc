#include "Tests/Support/free_address.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "LibCore/text.h"

namespace wasabi::support {

namespace {

// The ports are below the kernel's ephemeral range, so that no outgoing
// connection can take a port between the probe and its use.
constexpr uint16_t kFirstPort = 12'000;
constexpr uint16_t kPortCount = 18'000;

bool CanBind(int type, const core::SocketAddress& address) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in native = address.ToNative();
  const int result =
      bind(fd, reinterpret_cast<const sockaddr*>(&native), sizeof(native));
  close(fd);
  return result == 0;
}

core::SocketAddress MakeAddress(const std::string& ip, uint16_t port) {
  const auto address =
      core::SocketAddress::Parse(fmt::format("{}:{}", ip, port));
  return address.ok() ? *address : core::SocketAddress();
}

}  // namespace

std::string LoopbackIp(uint32_t index) {
  constexpr uint32_t kFirstOctet = 16;
  constexpr uint32_t kOctets = 224;
  constexpr uint32_t kFirstHost = 10;
  const auto pid = static_cast<uint32_t>(getpid());
  return fmt::format("127.{}.{}.{}", kFirstOctet + pid / 256 % kOctets,
                     pid % 256, kFirstHost + index);
}

core::SocketAddress FreeAddress(const std::string& ip) {
  static uint16_t next = static_cast<uint16_t>(getpid() % kPortCount);
  for (uint16_t tries = 0; tries < kPortCount; ++tries) {
    next = static_cast<uint16_t>((next + 1) % kPortCount);
    const core::SocketAddress address =
        MakeAddress(ip, static_cast<uint16_t>(kFirstPort + next));
    if (CanBind(SOCK_STREAM, address) && CanBind(SOCK_DGRAM, address)) {
      return address;
    }
  }
  return {};
}

}  // namespace wasabi::support
