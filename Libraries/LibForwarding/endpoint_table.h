// The endpoints that are registered now, by pool.

#ifndef LIBFORWARDING_ENDPOINT_TABLE_H_
#define LIBFORWARDING_ENDPOINT_TABLE_H_

#include <functional>
#include <map>
#include <vector>

#include "LibForwarding/endpoint.h"

namespace wasabi::forwarding {

class EndpointTable {
 public:
  // Hears of each endpoint that is gone, or that has started again; `before` is
  // the registration that no longer holds.
  using GoneObserver = std::function<void(const Endpoint& before)>;

  // Adds an endpoint or replaces its registration. True when anything changed.
  bool Put(const Endpoint& endpoint);
  // True when it was there.
  bool Remove(const core::RunnerId& id);

  const Endpoint* Find(const core::RunnerId& id) const;
  // The endpoints of a pool that take new work, sorted by id.
  std::vector<const Endpoint*> Available(const core::PoolId& pool) const;
  const std::map<core::RunnerId, Endpoint>& all() const { return endpoints_; }

  void SetGoneObserver(GoneObserver observer) {
    observer_ = std::move(observer);
  }

 private:
  std::map<core::RunnerId, Endpoint> endpoints_;
  GoneObserver observer_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_TABLE_H_
