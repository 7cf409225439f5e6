// Queue of the requests that wait on this host because every endpoint of their
// pool is full. Ordered by priority, then by arrival.

#ifndef LIBFORWARDING_WAIT_QUEUE_H_
#define LIBFORWARDING_WAIT_QUEUE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>

#include "LibCore/identifier.h"

namespace wasabi::forwarding {

// Position of a request in the queue of its pool.
struct WaitTicket {
  core::PoolId pool;
  int priority = 0;
  uint64_t sequence = 0;

  auto operator<=>(const WaitTicket&) const = default;
};

class WaitQueue {
 public:
  // Tries to start the request. Returns false if its pool is still full. The
  // callback may add and remove queue entries.
  using TryStart = std::function<bool()>;

  WaitTicket Join(const core::PoolId& pool, int priority, TryStart start);
  void Leave(const WaitTicket& ticket);

  // Starts the queued requests that can start, in order. Skips the rest of a
  // pool after the first request that cannot start.
  void Serve();

  size_t size() const { return waiting_.size(); }
  size_t SizeOf(const core::PoolId& pool) const;

 private:
  std::map<WaitTicket, TryStart> waiting_;
  uint64_t next_sequence_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_WAIT_QUEUE_H_
