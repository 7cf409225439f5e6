#include "LibForwarding/endpoint_table.h"

namespace wasabi::forwarding {

bool EndpointTable::Put(const Endpoint& endpoint) {
  const auto it = endpoints_.find(endpoint.id);
  if (it == endpoints_.end()) {
    endpoints_.emplace(endpoint.id, endpoint);
    return true;
  }
  if (it->second == endpoint) {
    return false;
  }
  const Endpoint before = it->second;
  it->second = endpoint;
  const bool has_restarted = before.started_at_ms != endpoint.started_at_ms ||
                             before.address != endpoint.address;
  if (has_restarted && observer_) {
    observer_(before);
  }
  return true;
}

bool EndpointTable::Remove(const core::RunnerId& id) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) {
    return false;
  }
  const Endpoint before = it->second;
  endpoints_.erase(it);
  if (observer_) {
    observer_(before);
  }
  return true;
}

const Endpoint* EndpointTable::Find(const core::RunnerId& id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

std::vector<const Endpoint*> EndpointTable::Available(
    const core::PoolId& pool) const {
  std::vector<const Endpoint*> available;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.pool == pool && !endpoint.is_leaving) {
      available.push_back(&endpoint);
    }
  }
  return available;
}

}  // namespace wasabi::forwarding
