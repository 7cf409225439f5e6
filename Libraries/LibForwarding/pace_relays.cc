#include "LibForwarding/pace_relays.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

// Several times the time of a datagram to a host of the same data centre and
// back.
constexpr core::Duration kSpreadTimeout = core::milliseconds(150);

}  // namespace

void PaceRelays::Add(const core::HostId& host) {
  if (std::find(relays_.begin(), relays_.end(), host) == relays_.end()) {
    relays_.push_front(host);
  }
}

void PaceRelays::Keep(const std::vector<core::HostId>& hosts) {
  std::erase_if(relays_, [&hosts](const core::HostId& it) {
    return std::find(hosts.begin(), hosts.end(), it) == hosts.end();
  });
}

const core::HostId* PaceRelays::Assign(const std::vector<PaceReport>& reports,
                                       core::TimePoint now) {
  if (relays_.empty()) {
    return nullptr;
  }
  relays_.push_back(relays_.front());
  relays_.pop_front();
  assigned_.push_back({.relay = relays_.back(), .reports = reports, .at = now});
  return &relays_.back();
}

void PaceRelays::OnSpread(const core::HostId& relay,
                          const std::vector<PaceReport>& reports) {
  std::erase_if(assigned_, [&](const Assigned& it) {
    return it.relay == relay && it.reports == reports;
  });
}

std::vector<uint32_t> PaceRelays::TakeOverdue(core::TimePoint now) {
  std::vector<uint32_t> overdue;
  while (!assigned_.empty() && now - assigned_.front().at >= kSpreadTimeout) {
    const Assigned& late = assigned_.front();
    for (const PaceReport& it : late.reports) {
      overdue.push_back(it.endpoint);
    }
    std::erase(relays_, late.relay);
    assigned_.pop_front();
  }
  return overdue;
}

}  // namespace wasabi::forwarding
