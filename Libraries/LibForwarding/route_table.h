// Immutable routing configuration with its indices. Finding a route takes time
// proportional to the depth of the path, and finding an organisation takes
// constant time, regardless of the size of the configuration.

#ifndef LIBFORWARDING_ROUTE_TABLE_H_
#define LIBFORWARDING_ROUTE_TABLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibForwarding/route.h"
#include "LibHttp/request_connection.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class RouteTable {
 public:
  // Increases with every configuration of the operator.
  int64_t version() const { return version_; }

  // Returns the route of `host` with the longest prefix of `target`'s path, or
  // nullptr if there is none. `host` may include a port.
  const Route* FindRoute(std::string_view host, std::string_view target) const;

  // Returns the organisation that holds an API key, or nullptr if there is
  // none.
  const Organisation* FindOrganisation(std::string_view api_key) const;
  // Whether callers need an API key at all.
  bool has_organisations() const { return has_organisations_; }

  const Pool* FindPool(const core::PoolId& id) const;
  const std::vector<Route>& routes() const { return routes_; }
  const http::CallerLimits& caller_limits() const { return caller_limits_; }

 private:
  friend class RouteTableBuilder;
  RouteTable() = default;

  using PrefixIndex = absl::flat_hash_map<std::string, size_t>;

  int64_t version_ = 0;
  std::vector<Route> routes_;
  absl::flat_hash_map<std::string, PrefixIndex> by_host_;
  absl::flat_hash_map<core::PoolId, Pool> pools_;
  std::vector<Organisation> organisations_;
  absl::flat_hash_map<std::string, size_t> organisation_by_key_;
  bool has_organisations_ = false;
  http::CallerLimits caller_limits_;
};

using RouteTableView = std::shared_ptr<const RouteTable>;

// Builds a RouteTable. Must not be used after Build.
class RouteTableBuilder {
 public:
  explicit RouteTableBuilder(int64_t version);

  RouteTableBuilder& AddRoute(Route route);
  RouteTableBuilder& AddPool(Pool pool);
  RouteTableBuilder& AddOrganisation(Organisation organisation,
                                     const std::vector<std::string>& api_keys);
  // Requires an API key even if no organisation holds one.
  RouteTableBuilder& RequireKeys();
  RouteTableBuilder& SetCallerLimits(const http::CallerLimits& limits);

  RouteTableView Build();

 private:
  std::shared_ptr<RouteTable> table_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ROUTE_TABLE_H_
