// Carries requests of other hosts, which have lost their own path, to
// endpoints: each tunnel joins one connection of a host with one new connection
// to an endpoint, byte for byte. The host that took the request from its caller
// still decides everything about it. Tunnels lead to registered endpoints only,
// never to another host, so that requests can't go in circles.

#ifndef LIBFORWARDING_TUNNEL_SERVER_H_
#define LIBFORWARDING_TUNNEL_SERVER_H_

#include <memory>
#include <set>

#include "LibForwarding/forward_context.h"
#include "LibHttp/transaction.h"

namespace wasabi::forwarding {

class Tunnel;

class TunnelServer {
 public:
  // `context` must outlive the server.
  explicit TunnelServer(ForwardContext* context);
  ~TunnelServer();
  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;

  // Opens a tunnel on the connection of a request for one (see
  // LibHttp/tunnel.h), or refuses it.
  void Open(const std::shared_ptr<http::Transaction>& transaction);
  // From now on refuses new tunnels. Open ones go on.
  void Stop() { is_stopping_ = true; }
  // Ends the open tunnels, each with a log entry.
  void InterruptAll();
  size_t open_tunnels() const { return tunnels_.size(); }

 private:
  friend class Tunnel;

  ForwardContext* const context_;
  std::set<std::shared_ptr<Tunnel>> tunnels_;
  bool is_stopping_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_TUNNEL_SERVER_H_
