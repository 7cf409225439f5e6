// Queue of the requests that wait on this host because every endpoint of their
// pool is full. Ordered by priority, then fairly among organisations, then by
// arrival; see LibRouting/pool_admission.h.

#ifndef LIBFORWARDING_WAIT_QUEUE_H_
#define LIBFORWARDING_WAIT_QUEUE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>

#include "LibCore/identifier.h"
#include "LibRouting/pool_admission.h"
#include "LibRouting/work_item.h"

namespace wasabi::forwarding {

// A request in the queue of its pool.
struct WaitTicket {
  core::PoolId pool;
  uint64_t sequence = 0;

  auto operator<=>(const WaitTicket&) const = default;
};

class WaitQueue {
 public:
  // Tries to start the request. Returns false if its pool is still full. The
  // callback may add and remove queue entries.
  using TryStart = std::function<bool()>;

  // Adds a request. Without organisations, requests of one priority are served
  // by arrival. The id of `item` is not used: callers may use one id twice.
  WaitTicket Join(const core::PoolId& pool,
                  routing::WorkItem item,
                  TryStart start);
  void Leave(const WaitTicket& ticket);
  // Lets no request that joins later overtake this one, except more urgent
  // ones.
  void Secure(const WaitTicket& ticket);

  // Starts the queued requests that can start, in order. Skips the rest of a
  // pool after the first request that cannot start.
  void Serve();
  // The same for one pool.
  void Serve(const core::PoolId& pool);

  size_t size() const { return waiting_.size(); }
  size_t SizeOf(const core::PoolId& pool) const;

  routing::PoolAdmission& AdmissionOf(const core::PoolId& pool) {
    return pools_[pool];
  }
  const std::map<core::PoolId, routing::PoolAdmission>& pools() const {
    return pools_;
  }

 private:
  std::map<core::PoolId, routing::PoolAdmission> pools_;
  std::map<WaitTicket, TryStart> waiting_;
  uint64_t next_sequence_ = 0;
};

// Returns the id under which a request is in the queue of its pool.
core::RequestId IdOf(const WaitTicket& ticket);

// Returns the priority class of a request of the platform.
routing::Priority PriorityClassOf(int priority);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_WAIT_QUEUE_H_
