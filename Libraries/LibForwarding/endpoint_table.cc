#include "LibForwarding/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace wasabi::forwarding {

namespace {

// Departures of endpoints that are no longer registered are kept up to this
// number.
constexpr size_t kMaxDepartures = 10'000;
// Removed registrations that are kept. The ends of older ones are reported.
constexpr size_t kMaxRemoved = 1'000;

bool IsSameStart(const Endpoint& a, const Endpoint& b) {
  return a.started_at_ms == b.started_at_ms && a.address == b.address;
}

}  // namespace

bool EndpointTable::Put(const Endpoint& endpoint) {
  const auto it = endpoints_.find(endpoint.id);
  if (it == endpoints_.end()) {
    const auto removed = removed_.extract(endpoint.id);
    if (!removed.empty()) {
      std::erase(removal_order_, endpoint.id);
      EndUnlessSame(removed.mapped(), endpoint);
    }
    endpoints_.emplace(endpoint.id, endpoint);
    addresses_.Add(endpoint);
    return true;
  }
  if (it->second == endpoint) {
    return false;
  }
  const Endpoint before = it->second;
  it->second = endpoint;
  misdirected_.erase(endpoint.id);
  addresses_.Remove(before);
  addresses_.Add(endpoint);
  if (!IsSameStart(before, endpoint) && observer_) {
    observer_(before);
  }
  EndUnlessSame(before, endpoint);
  return true;
}

void EndpointTable::EndUnlessSame(const Endpoint& before,
                                  const Endpoint& endpoint) {
  if (!IsSameStart(before, endpoint) && end_observer_) {
    end_observer_(before);
  }
}

void EndpointTable::KeepRemoved(const Endpoint& before) {
  removed_.insert_or_assign(before.id, before);
  removal_order_.push_back(before.id);
  if (removal_order_.size() <= kMaxRemoved) {
    return;
  }
  const auto oldest = removed_.extract(removal_order_.front());
  removal_order_.pop_front();
  if (end_observer_) {
    end_observer_(oldest.mapped());
  }
}

bool EndpointTable::Remove(const core::RunnerId& id) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) {
    return false;
  }
  const Endpoint before = it->second;
  endpoints_.erase(it);
  misdirected_.erase(id);
  addresses_.Remove(before);
  KeepRemoved(before);
  if (observer_) {
    observer_(before);
  }
  return true;
}

const Endpoint* EndpointTable::Find(const core::RunnerId& id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

bool EndpointTable::RecordDeparture(const core::RunnerId& id,
                                    int64_t started_at_ms) {
  if (departures_.size() >= kMaxDepartures) {
    std::erase_if(departures_, [this](const auto& it) {
      return !endpoints_.contains(it.first);
    });
  }
  const auto [it, is_new] = departures_.try_emplace(id, started_at_ms);
  if (is_new || it->second < started_at_ms) {
    it->second = started_at_ms;
    return true;
  }
  return false;
}

bool EndpointTable::IsLeaving(const Endpoint& endpoint) const {
  const auto it = departures_.find(endpoint.id);
  return endpoint.is_leaving ||
         (it != departures_.end() && endpoint.started_at_ms <= it->second);
}

bool EndpointTable::RecordMisdirected(const core::RunnerId& id,
                                      int64_t started_at_ms,
                                      const core::SocketAddress& address) {
  const Endpoint* endpoint = Find(id);
  const bool is_current = endpoint != nullptr &&
                          endpoint->started_at_ms == started_at_ms &&
                          endpoint->address == address;
  return is_current && misdirected_.insert(id).second;
}

bool EndpointTable::HasSuccessor(const Endpoint& endpoint) const {
  const std::set<core::RunnerId>* ids =
      addresses_.EndpointsAt(endpoint.address);
  if (ids == nullptr || endpoint.started_at_ms == 0) {
    return false;
  }
  return std::any_of(ids->begin(), ids->end(), [&](const core::RunnerId& id) {
    const Endpoint& other = endpoints_.at(id);
    return id != endpoint.id && other.pool == endpoint.pool &&
           other.started_at_ms > endpoint.started_at_ms && IsUsable(other);
  });
}

void EndpointTable::SetEvacuated(std::set<core::DataCentreId> data_centres) {
  const std::set<core::DataCentreId> before =
      std::exchange(evacuated_, std::move(data_centres));
  if (!evacuation_end_observer_) {
    return;
  }
  for (const core::DataCentreId& it : before) {
    if (!IsEvacuated(it)) {
      evacuation_end_observer_(it);
    }
  }
}

const Endpoint* EndpointTable::FindAvailable(uint64_t id_hash) const {
  for (const auto& [id, endpoint] : endpoints_) {
    if (id.Hash() == id_hash) {
      return IsAvailable(endpoint) ? &endpoint : nullptr;
    }
  }
  return nullptr;
}

std::vector<const Endpoint*> EndpointTable::Available(
    const core::PoolId& pool) const {
  std::vector<const Endpoint*> available;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.pool == pool && IsAvailable(endpoint)) {
      available.push_back(&endpoint);
    }
  }
  return available;
}

}  // namespace wasabi::forwarding
