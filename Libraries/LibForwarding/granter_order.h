// The host that grants the places of each endpoint: the first of the running
// hosts in the rendezvous order of the endpoint. Performs no I/O; the caller
// passes in the time.
//
// A host that has just become the granting host of an endpoint, because it has
// started or another host has died, does not know what the other hosts have in
// flight there. They report it at intervals, so the host is *settled* at an
// endpoint once it has been the granting host for longer than that.

#ifndef LIBFORWARDING_GRANTER_ORDER_H_
#define LIBFORWARDING_GRANTER_ORDER_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/rendezvous.h"
#include "LibCore/time.h"

namespace wasabi::forwarding {

class GranterOrder {
 public:
  GranterOrder(core::HostId self, core::Duration settling_time);

  void SetHosts(const std::vector<core::HostId>& running, core::TimePoint now);
  const std::vector<core::HostId>& running() const { return current_.running; }

  // Returns the granting host, or an empty id if no host runs.
  core::HostId GranterOf(uint64_t endpoint) const;
  // Returns whether this host is settled at an endpoint that it grants. A host
  // that knows of no other one always is.
  bool IsSettled(uint64_t endpoint, core::TimePoint now) const;
  // Returns whether this host is among the first `n` of the endpoint's order.
  bool IsAmongFirst(uint64_t endpoint, size_t n) const;

 private:
  struct Order {
    std::vector<core::HostId> running;
    std::vector<core::RendezvousCandidate> candidates;
    core::TimePoint ended_at{};
  };

  static core::HostId WinnerOf(const Order& order, uint64_t endpoint);

  const core::HostId self_;
  const core::Duration settling_time_;
  Order current_;
  // Orders that ended less than the settling time ago, oldest first.
  std::deque<Order> previous_;
  // No endpoint is settled before this time.
  core::TimePoint settled_from_{};
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_GRANTER_ORDER_H_
