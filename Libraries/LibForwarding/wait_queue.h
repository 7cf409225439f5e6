// The requests that wait on this host because every endpoint of their pool is
// full, by priority and then by arrival.

#ifndef LIBFORWARDING_WAIT_QUEUE_H_
#define LIBFORWARDING_WAIT_QUEUE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>

#include "LibCore/identifier.h"

namespace wasabi::forwarding {

// A position among the requests of one pool.
struct WaitTicket {
  core::PoolId pool;
  int priority = 0;
  uint64_t sequence = 0;

  auto operator<=>(const WaitTicket&) const = default;
};

class WaitQueue {
 public:
  // Tries to start the request; false where its pool is still full. It may
  // leave the queue or join it.
  using TryStart = std::function<bool()>;

  WaitTicket Join(const core::PoolId& pool, int priority, TryStart start);
  void Leave(const WaitTicket& ticket);

  // Starts what can start, in order.
  void Serve();

  size_t size() const { return waiting_.size(); }
  size_t SizeOf(const core::PoolId& pool) const;

 private:
  std::map<WaitTicket, TryStart> waiting_;
  uint64_t next_sequence_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_WAIT_QUEUE_H_
