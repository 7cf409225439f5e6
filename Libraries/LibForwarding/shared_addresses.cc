#include "LibForwarding/shared_addresses.h"

namespace wasabi::forwarding {

void SharedAddresses::Add(const Endpoint& endpoint) {
  std::set<core::RunnerId>& ids = endpoints_[endpoint.address];
  const bool was_shared = ids.size() > 1;
  ids.insert(endpoint.id);
  shared_ += !was_shared && ids.size() > 1 ? 1 : 0;
}

void SharedAddresses::Remove(const Endpoint& endpoint) {
  const auto it = endpoints_.find(endpoint.address);
  if (it == endpoints_.end()) {
    return;
  }
  const bool was_shared = it->second.size() > 1;
  it->second.erase(endpoint.id);
  shared_ -= was_shared && it->second.size() <= 1 ? 1 : 0;
  if (it->second.empty()) {
    endpoints_.erase(it);
  }
}

const std::set<core::RunnerId>* SharedAddresses::EndpointsAt(
    const core::SocketAddress& address) const {
  if (shared_ == 0) {
    return nullptr;
  }
  const auto it = endpoints_.find(address);
  return it == endpoints_.end() || it->second.size() < 2 ? nullptr
                                                         : &it->second;
}

}  // namespace wasabi::forwarding
