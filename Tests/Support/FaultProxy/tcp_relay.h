// Relays TCP connections to one target and applies the faults of a link.

#ifndef TESTS_SUPPORT_FAULTPROXY_TCP_RELAY_H_
#define TESTS_SUPPORT_FAULTPROXY_TCP_RELAY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "Tests/Support/FaultProxy/link_faults.h"
#include "absl/status/statusor.h"

namespace wasabi::support {

class TcpRelay {
 public:
  // Listens on `address`; returns ResultCode::kCannotListen if it is in use.
  // `loop` and `faults` must outlive the relay.
  static absl::StatusOr<std::unique_ptr<TcpRelay>> Create(
      core::EventLoop* loop,
      const core::SocketAddress& address,
      const core::SocketAddress& target,
      LinkFaults* faults);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  // Resets all open connections.
  void ResetAll();
  // Permanently stops relaying on all open connections without closing them.
  void StallAll();
  // From now on, attempts to connect are refused, or get no answer at all. Open
  // connections are not affected.
  void RefuseConnections();
  void IgnoreConnections();
  // Ends RefuseConnections and IgnoreConnections. Error: kCannotListen.
  absl::Status AcceptConnections();

  // Returns what is written to a client, in place of the target's answer, after
  // its first bytes, and before its connection is reset; "" if they are
  // relayed.
  using EarlyAnswer = std::function<std::string(std::string_view bytes)>;
  // Sets it for connections that open from now on; nullptr to relay all.
  void SetEarlyAnswer(EarlyAnswer early_answer) {
    early_answer_ = std::move(early_answer);
  }

  size_t open_connections() const { return connections_.size(); }

 private:
  class Connection;

  TcpRelay(core::EventLoop* loop,
           const core::SocketAddress& address,
           const core::SocketAddress& target,
           LinkFaults* faults);
  absl::Status Listen();
  void StopListening();
  void OnAccept();

  core::EventLoop* loop_;
  const core::SocketAddress address_;
  const core::SocketAddress target_;
  LinkFaults* faults_;
  int listener_ = -1;
  // Connections that fill the listener's queue, so that the kernel ignores
  // others.
  std::vector<int> fillers_;
  std::unique_ptr<core::IoWatcher> watcher_;
  std::set<std::shared_ptr<Connection>> connections_;
  EarlyAnswer early_answer_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FAULTPROXY_TCP_RELAY_H_
