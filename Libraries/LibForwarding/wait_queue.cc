#include "LibForwarding/wait_queue.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibCore/text.h"

namespace wasabi::forwarding {

WaitTicket WaitQueue::Join(const core::PoolId& pool,
                           routing::WorkItem item,
                           TryStart start) {
  WaitTicket ticket{pool, next_sequence_++};
  item.request = IdOf(ticket);
  routing::WaitingItem waiting;
  waiting.item = std::move(item);
  waiting.tokens = 1;
  pools_[pool].queue().Push(std::move(waiting));
  waiting_.emplace(ticket, std::move(start));
  return ticket;
}

void WaitQueue::Leave(const WaitTicket& ticket) {
  if (waiting_.erase(ticket) > 0) {
    pools_[ticket.pool].queue().Remove(IdOf(ticket));
  }
}

void WaitQueue::Secure(const WaitTicket& ticket) {
  pools_[ticket.pool].queue().Secure(IdOf(ticket));
}

void WaitQueue::Serve() {
  std::vector<core::PoolId> pools;
  for (const auto& [pool, admission] : pools_) {
    if (!admission.queue().empty()) {
      pools.push_back(pool);
    }
  }
  for (const core::PoolId& pool : pools) {
    Serve(pool);
  }
}

void WaitQueue::Serve(const core::PoolId& pool) {
  routing::FairQueue& queue = pools_[pool].queue();
  const std::vector<core::RequestId> requests =
      queue.Select([](const routing::WaitingItem& /*it*/) { return true; });
  for (const core::RequestId& request : requests) {
    const auto it = waiting_.find(
        {pool, core::ParseNumber<uint64_t>(request.value()).value_or(0)});
    if (it == waiting_.end()) {
      continue;
    }
    const TryStart start = it->second;
    queue.RecordStart(request);
    if (!start()) {
      return;
    }
  }
}

size_t WaitQueue::SizeOf(const core::PoolId& pool) const {
  const auto it = pools_.find(pool);
  return it == pools_.end() ? 0 : it->second.queue().size();
}

core::RequestId IdOf(const WaitTicket& ticket) {
  return core::RequestId(fmt::to_string(ticket.sequence));
}

routing::Priority PriorityClassOf(int priority) {
  constexpr int kMostUrgent = 0;
  constexpr int kLeastUrgent = 255;
  return static_cast<routing::Priority>(
      std::clamp(priority, kMostUrgent, kLeastUrgent));
}

}  // namespace wasabi::forwarding
