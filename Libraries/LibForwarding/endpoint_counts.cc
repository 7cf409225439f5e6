#include "LibForwarding/endpoint_counts.h"

#include <algorithm>

namespace wasabi::forwarding {

uint32_t EndpointCounts::Of(uint32_t key) const {
  const auto it = counts_.find(key);
  return it == counts_.end() ? 0 : it->second;
}

void EndpointCounts::Add(uint32_t key, uint32_t n) {
  if (n > 0) {
    counts_[key] += n;
  }
}

void EndpointCounts::Subtract(uint32_t key, uint32_t n) {
  const auto it = counts_.find(key);
  if (it == counts_.end()) {
    return;
  }
  it->second -= std::min(it->second, n);
  if (it->second == 0) {
    counts_.erase(it);
  }
}

void EndpointCounts::Add(const EndpointCounts& other) {
  for (const auto& [key, n] : other) {
    Add(key, n);
  }
}

void EndpointCounts::Subtract(const EndpointCounts& other) {
  for (const auto& [key, n] : other) {
    Subtract(key, n);
  }
}

uint32_t EndpointKeyOf(const core::RunnerId& endpoint) {
  return EndpointKeyOf(endpoint.Hash());
}

uint32_t EndpointKeyOf(uint64_t id_hash) {
  constexpr uint64_t kKeyMask = (1U << kEndpointKeyBits) - 1;
  return static_cast<uint32_t>(id_hash & kKeyMask);
}

}  // namespace wasabi::forwarding
