// Relays datagrams to one target and applies the faults of a link. Each client
// has a separate socket towards the target, which identifies the client that an
// answer belongs to.

#ifndef TESTS_SUPPORT_FAULTPROXY_UDP_RELAY_H_
#define TESTS_SUPPORT_FAULTPROXY_UDP_RELAY_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "Tests/Support/FaultProxy/link_faults.h"
#include "absl/status/statusor.h"

namespace wasabi::support {

class UdpRelay {
 public:
  // Listens on `address`; returns ResultCode::kCannotListen if it is in use.
  // `loop` and `faults` must outlive the relay.
  static absl::StatusOr<std::unique_ptr<UdpRelay>> Create(
      core::EventLoop* loop,
      const core::SocketAddress& address,
      const core::SocketAddress& target,
      LinkFaults* faults);
  ~UdpRelay();
  UdpRelay(const UdpRelay&) = delete;
  UdpRelay& operator=(const UdpRelay&) = delete;

 private:
  // The socket that exchanges one client's datagrams with the target.
  struct Client {
    int socket = -1;
    std::unique_ptr<core::IoWatcher> watcher;
  };

  UdpRelay(core::EventLoop* loop,
           const core::SocketAddress& target,
           LinkFaults* faults);
  void OnClientDatagram();
  void OnTargetDatagram(const core::SocketAddress& client);
  Client* FindOrAddClient(const core::SocketAddress& address);
  void RelayDatagram(Direction direction,
                     int socket,
                     const core::SocketAddress& destination,
                     const std::string& datagram);
  void RelayDelayed(core::Duration delay,
                    int socket,
                    const core::SocketAddress& destination,
                    const std::string& datagram);

  core::EventLoop* loop_;
  const core::SocketAddress target_;
  LinkFaults* faults_;
  int socket_ = -1;
  std::unique_ptr<core::IoWatcher> watcher_;
  std::map<core::SocketAddress, Client> clients_;
  std::map<uint64_t, std::unique_ptr<core::Timer>> delayed_;
  uint64_t next_delayed_ = 1;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FAULTPROXY_UDP_RELAY_H_
