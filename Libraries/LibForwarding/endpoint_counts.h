// Numbers of requests at endpoints.

#ifndef LIBFORWARDING_ENDPOINT_COUNTS_H_
#define LIBFORWARDING_ENDPOINT_COUNTS_H_

#include <cstdint>
#include <initializer_list>
#include <unordered_map>

#include "LibCore/identifier.h"

namespace wasabi::forwarding {

// Number of bits of an endpoint key.
inline constexpr unsigned kEndpointKeyBits = 24;

// Returns a short hash of an endpoint's id. If the keys of two endpoints
// collide, each appears to have the sum of both loads.
uint32_t EndpointKeyOf(const core::RunnerId& endpoint);
uint32_t EndpointKeyOf(uint64_t id_hash);

// Number of requests by endpoint key (EndpointKeyOf). Endpoints without
// requests are omitted.
class EndpointCounts {
 public:
  using Map = std::unordered_map<uint32_t, uint32_t>;

  EndpointCounts() = default;
  EndpointCounts(std::initializer_list<Map::value_type> counts)
      : counts_(counts) {}

  uint32_t Of(uint32_t key) const;
  void Add(uint32_t key, uint32_t n);
  // Counts no lower than zero.
  void Subtract(uint32_t key, uint32_t n);
  void Add(const EndpointCounts& other);
  void Subtract(const EndpointCounts& other);

  size_t size() const { return counts_.size(); }
  bool empty() const { return counts_.empty(); }
  Map::const_iterator begin() const { return counts_.begin(); }
  Map::const_iterator end() const { return counts_.end(); }

  friend EndpointCounts operator+(EndpointCounts a, const EndpointCounts& b) {
    a.Add(b);
    return a;
  }
  friend bool operator==(const EndpointCounts&,
                         const EndpointCounts&) = default;

 private:
  Map counts_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_COUNTS_H_
