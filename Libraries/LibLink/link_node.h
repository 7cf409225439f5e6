// Implements Link over HTTP/2 with one persistent connection per peer and
// direction, and one stream per call. The request message is the request body,
// response messages are length-prefixed in the response body, and the final
// status is sent in trailers. PINGs detect dead connections while calls are in
// flight; such a connection is closed and the next call opens a new one.

#ifndef LIBLINK_LINK_NODE_H_
#define LIBLINK_LINK_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibLink/link.h"
#include "LibLink/link_options.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"

namespace wasabi::link {

struct LinkContext;
class Session;
class ClientSession;
class ServerSession;

// `loop` must outlive the node, and all callbacks run on it.
class LinkNode final : public Link {
 public:
  // Returns true if the host with this IP address (host byte order) may call.
  using PeerCheck = std::function<bool(uint32_t ip)>;
  // Handles a call from another daemon. It may finish the call inside the
  // handler or later.
  using InboundHandler = std::function<void(std::shared_ptr<InboundCall>)>;

  // Starts to listen at the address in `options`; returns kCannotListen if that
  // fails.
  static absl::StatusOr<std::unique_ptr<LinkNode>> Create(
      core::EventLoop* loop,
      const LinkOptions& options,
      PeerCheck peer_check,
      InboundHandler inbound_handler);

  // Closes all connections. Calls in flight end with the status of a lost
  // connection.
  ~LinkNode() override;

  // Besides the statuses of the peer's handler, a call can end with
  // kPeerUnreachable, kUnknownSender or kVersionMismatch (the call was
  // certainly not handled), kPeerSilent (it may have been handled), or
  // kMalformedMessage (a message was too large or the response was malformed).
  std::shared_ptr<OutboundCall> Call(const core::SocketAddress& peer,
                                     CallKind kind,
                                     std::string request,
                                     CallHandlers handlers) override;

  // Stops accepting calls from other daemons. Calls in flight continue, and
  // calls to other daemons can still be started.
  void StopAccepting();

  // True if no inbound call is in flight and all responses are written.
  bool IsDrained() const;

  // The address at which the node listens, with the actual port.
  core::SocketAddress address() const;

  // Bytes on all connections since the start, excluding TCP/IP headers.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  explicit LinkNode(std::shared_ptr<LinkContext> context);
  absl::Status Listen();
  void Accept();
  // Checks all sessions for timeouts. Runs every LinkOptions::ping_interval.
  void Tick();

  std::shared_ptr<LinkContext> context_;
  int listener_ = -1;
  std::unique_ptr<core::IoWatcher> listener_watcher_;
  std::unique_ptr<core::Timer> ticker_;
  // The connection that is used for new calls to an address.
  absl::flat_hash_map<core::SocketAddress, std::shared_ptr<ClientSession>>
      clients_;
  std::vector<std::weak_ptr<ServerSession>> servers_;
  // Outgoing connections that accept no new calls but may have calls in flight.
  std::vector<std::weak_ptr<ClientSession>> draining_clients_;
};

}  // namespace wasabi::link

#endif  // LIBLINK_LINK_NODE_H_
