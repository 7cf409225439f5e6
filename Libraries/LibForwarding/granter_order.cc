#include "LibForwarding/granter_order.h"

#include <algorithm>
#include <utility>

namespace wasabi::forwarding {

GranterOrder::GranterOrder(core::HostId self, core::Duration settling_time)
    : self_(std::move(self)), settling_time_(settling_time) {}

void GranterOrder::SetHosts(const std::vector<core::HostId>& running,
                            core::TimePoint now) {
  if (running == current_.running) {
    return;
  }
  // A host that has found most of the fleet only now did not get the reports of
  // the others before, whatever it took itself to grant.
  if (running.size() >= 2 * std::max<size_t>(current_.running.size(), 1)) {
    settled_from_ = now + settling_time_;
    previous_.clear();
  } else {
    current_.ended_at = now;
    previous_.push_back(std::move(current_));
  }
  std::erase_if(previous_, [&](const Order& it) {
    return now - it.ended_at >= settling_time_;
  });
  current_ = {.running = running, .candidates = {}};
  for (const core::HostId& it : running) {
    current_.candidates.push_back({.hash = it.Hash(), .weight = 1.0});
  }
}

core::HostId GranterOrder::WinnerOf(const Order& order, uint64_t endpoint) {
  const size_t winner = core::RendezvousWinner(endpoint, order.candidates);
  return winner < order.running.size() ? order.running[winner] : core::HostId();
}

core::HostId GranterOrder::GranterOf(uint64_t endpoint) const {
  return WinnerOf(current_, endpoint);
}

bool GranterOrder::IsSettled(uint64_t endpoint, core::TimePoint now) const {
  if (current_.running.size() <= 1) {
    return true;
  }
  return now >= settled_from_ &&
         std::all_of(previous_.begin(), previous_.end(), [&](const Order& it) {
           return now - it.ended_at >= settling_time_ ||
                  WinnerOf(it, endpoint) == self_;
         });
}

bool GranterOrder::IsAmongFirst(uint64_t endpoint, size_t n) const {
  const std::vector<size_t> order =
      core::RendezvousOrder(endpoint, current_.candidates);
  return std::any_of(
      order.begin(),
      order.begin() + static_cast<ptrdiff_t>(std::min(order.size(), n)),
      [this](size_t it) { return current_.running[it] == self_; });
}

}  // namespace wasabi::forwarding
