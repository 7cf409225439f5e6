// Calls between daemons over HTTP/2: one kept connection per peer and
// direction, one stream per call. A call's request is the request body; answer
// messages are length-prefixed in the response body; the final status travels
// in trailers. Connections with calls in flight that go silent are found by
// PING and closed, and the next call uses a fresh one.

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

class LinkNode final : public Link {
 public:
  // Tells whether a host with this IP number (host byte order) may call.
  using PeerCheck = std::function<bool(uint32_t ip)>;
  // Takes a call from another daemon. It may answer at once or later.
  using InboundHandler = std::function<void(std::shared_ptr<InboundCall>)>;

  // Listens at the address in `options`; kCannotListen where that fails.
  static absl::StatusOr<std::unique_ptr<LinkNode>> Create(
      core::EventLoop* loop,
      const LinkOptions& options,
      PeerCheck peer_check,
      InboundHandler inbound_handler);

  // Closes all connections; calls in flight end as lost.
  ~LinkNode() override;

  // The statuses with which a call ends, besides those of the other side's
  // handler: kPeerUnreachable, kUnknownSender and kVersionMismatch (certainly
  // not handled), kPeerSilent (may have been handled), kMalformedMessage (a
  // message was too large or the answer was broken).
  std::shared_ptr<OutboundCall> Call(const core::SocketAddress& peer,
                                     CallKind kind,
                                     std::string request,
                                     CallHandlers handlers) override;

  // Takes no further calls from other daemons; those in flight go on. Calls to
  // other daemons still work.
  void StopAccepting();

  // True when no inbound call is in flight and all answers are written.
  bool IsDrained() const;

  // Where the node listens, with the port that was taken.
  core::SocketAddress address() const;

  // Bytes on all connections since the start, without TCP/IP headers.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  explicit LinkNode(std::shared_ptr<LinkContext> context);
  absl::Status Listen();
  void Accept();
  void Tick();

  std::shared_ptr<LinkContext> context_;
  int listener_ = -1;
  std::unique_ptr<core::IoWatcher> listener_watcher_;
  std::unique_ptr<core::Timer> ticker_;
  // The connection that new calls to an address take.
  absl::flat_hash_map<core::SocketAddress, std::shared_ptr<ClientSession>>
      clients_;
  std::vector<std::weak_ptr<ServerSession>> servers_;
  // Outgoing connections that take no new calls but have some in flight.
  std::vector<std::weak_ptr<ClientSession>> retired_clients_;
};

}  // namespace wasabi::link

#endif  // LIBLINK_LINK_NODE_H_
