// The endpoints of each pool, as given by the host list.

#ifndef LIBINTENT_POOL_MEMBERS_H_
#define LIBINTENT_POOL_MEMBERS_H_

#include <map>
#include <set>
#include <string>

#include "LibCore/identifier.h"
#include "LibIntent/configuration.h"

namespace wasabi::intent {

using PoolMembers = std::map<core::PoolId, std::set<std::string>>;

// Returns the pool of `endpoint`, or an empty id.
inline core::PoolId PoolOf(const PoolMembers& pools,
                           const std::string& endpoint) {
  for (const auto& [pool, endpoints] : pools) {
    if (endpoints.contains(endpoint)) {
      return pool;
    }
  }
  return {};
}

// Returns the number of endpoints of `pool` that are not drained.
inline size_t CountUndrained(const PoolMembers& pools,
                             const core::PoolId& pool,
                             const Configuration& configuration) {
  const auto it = pools.find(pool);
  if (it == pools.end()) {
    return 0;
  }
  size_t n = 0;
  for (const std::string& endpoint : it->second) {
    n += configuration.drained_endpoints.contains(endpoint) ? 0 : 1;
  }
  return n;
}

}  // namespace wasabi::intent

#endif  // LIBINTENT_POOL_MEMBERS_H_
