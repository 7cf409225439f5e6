// Runs the proxied links and the HTTP control port that injects their faults.

#ifndef TESTS_SUPPORT_FAULTPROXY_PROXY_SERVER_H_
#define TESTS_SUPPORT_FAULTPROXY_PROXY_SERVER_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibHttp/server.h"
#include "Tests/Support/FaultProxy/tcp_relay.h"
#include "Tests/Support/FaultProxy/udp_relay.h"

namespace wasabi::support {

// The configuration of one link, which relays from `address` to `target`.
struct LinkSpec {
  std::string name;
  bool is_udp = false;
  core::SocketAddress address;
  core::SocketAddress target;

  auto operator<=>(const LinkSpec&) const = default;

  // Parses "NAME=tcp:IP:PORT>IP:PORT" or "NAME=udp:IP:PORT>IP:PORT". Returns
  // ResultCode::kUsage if a separator is missing.
  static absl::StatusOr<LinkSpec> Parse(std::string_view text);
};

class ProxyServer {
 public:
  // Opens all `links` and the control port. POST /faults accepts a LinkFault as
  // JSON with the name of the link in "link", or "*" for all links. `seed` is
  // the seed of the first link and incremented for each further one. `loop`
  // must outlive the server.
  static absl::StatusOr<std::unique_ptr<ProxyServer>> Create(
      core::EventLoop* loop,
      const core::SocketAddress& control,
      const std::vector<LinkSpec>& links,
      uint64_t seed);

 private:
  // An open link. Either `tcp` or `udp` is set.
  struct Link {
    std::string name;
    std::unique_ptr<LinkFaults> faults;
    std::unique_ptr<TcpRelay> tcp;
    std::unique_ptr<UdpRelay> udp;
  };

  explicit ProxyServer(core::EventLoop* loop) : loop_(loop) {}
  absl::Status Open(const LinkSpec& spec, uint64_t seed);
  void OnRequest(const std::shared_ptr<http::Exchange>& exchange);
  void Inject(const LinkFault& fault, Link* link);

  core::EventLoop* loop_;
  std::vector<Link> links_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FAULTPROXY_PROXY_SERVER_H_
