// Finds registered endpoints that have the same address.

#ifndef LIBFORWARDING_SHARED_ADDRESSES_H_
#define LIBFORWARDING_SHARED_ADDRESSES_H_

#include <cstddef>
#include <map>
#include <set>

#include "LibForwarding/endpoint.h"

namespace wasabi::forwarding {

class SharedAddresses {
 public:
  void Add(const Endpoint& endpoint);
  void Remove(const Endpoint& endpoint);

  // Returns the ids of the endpoints at `address`, or nullptr if it has fewer
  // than two. The pointer is valid until the next change.
  const std::set<core::RunnerId>* EndpointsAt(
      const core::SocketAddress& address) const;

 private:
  std::map<core::SocketAddress, std::set<core::RunnerId>> endpoints_;
  // Number of addresses with more than one endpoint.
  size_t shared_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_SHARED_ADDRESSES_H_
