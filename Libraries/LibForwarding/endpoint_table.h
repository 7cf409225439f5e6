// Holds the currently registered endpoints and lists them by pool.

#ifndef LIBFORWARDING_ENDPOINT_TABLE_H_
#define LIBFORWARDING_ENDPOINT_TABLE_H_

#include <functional>
#include <map>
#include <vector>

#include "LibForwarding/endpoint.h"

namespace wasabi::forwarding {

class EndpointTable {
 public:
  // Called by Put and Remove for each endpoint that has restarted or was
  // removed. `before` is the registration that is no longer valid.
  using RemovalObserver = std::function<void(const Endpoint& before)>;

  // Adds an endpoint or replaces its registration. Returns whether anything
  // changed.
  bool Put(const Endpoint& endpoint);
  // Returns whether the endpoint was in the table.
  bool Remove(const core::RunnerId& id);

  // Returns nullptr if the endpoint is unknown. The pointer is valid until the
  // table changes.
  const Endpoint* Find(const core::RunnerId& id) const;
  // Returns the endpoints of a pool that accept new requests, sorted by id. The
  // pointers are valid until the table changes.
  std::vector<const Endpoint*> Available(const core::PoolId& pool) const;
  const std::map<core::RunnerId, Endpoint>& all() const { return endpoints_; }

  void SetRemovalObserver(RemovalObserver observer) {
    observer_ = std::move(observer);
  }

 private:
  std::map<core::RunnerId, Endpoint> endpoints_;
  RemovalObserver observer_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_TABLE_H_
