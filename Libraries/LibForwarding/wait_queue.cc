#include "LibForwarding/wait_queue.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace wasabi::forwarding {

WaitTicket WaitQueue::Join(const core::PoolId& pool,
                           int priority,
                           TryStart start) {
  WaitTicket ticket{pool, priority, next_sequence_++};
  waiting_.emplace(ticket, std::move(start));
  return ticket;
}

void WaitQueue::Leave(const WaitTicket& ticket) {
  waiting_.erase(ticket);
}

void WaitQueue::Serve() {
  std::vector<WaitTicket> tickets;
  tickets.reserve(waiting_.size());
  for (const auto& [ticket, start] : waiting_) {
    tickets.push_back(ticket);
  }
  std::set<core::PoolId> full_pools;
  for (const WaitTicket& ticket : tickets) {
    const auto it = waiting_.find(ticket);
    if (it == waiting_.end() || full_pools.contains(ticket.pool)) {
      continue;
    }
    const TryStart start = it->second;
    if (!start()) {
      full_pools.insert(ticket.pool);
    }
  }
}

size_t WaitQueue::SizeOf(const core::PoolId& pool) const {
  return static_cast<size_t>(
      std::count_if(waiting_.begin(), waiting_.end(),
                    [&pool](const auto& it) { return it.first.pool == pool; }));
}

}  // namespace wasabi::forwarding
