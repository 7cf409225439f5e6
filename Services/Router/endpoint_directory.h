// Directory of the endpoints that the fleet routes to. Combines the platform's
// host list with the conditions observed by runner owners.

#ifndef SERVICES_ROUTER_ENDPOINT_DIRECTORY_H_
#define SERVICES_ROUTER_ENDPOINT_DIRECTORY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibPlatform/host_list_client.h"
#include "LibRouting/placement.h"

namespace wasabi::router {

// Condition of an endpoint as observed by its owner. The numeric values are
// shared through gossip.
enum class EndpointCondition : uint8_t { kHealthy, kLeaving, kDown };

// Holds the host list, the observations and the drained set. Not thread-safe.
class EndpointDirectory {
 public:
  // Replaces the host list and forgets observations of endpoints that are not
  // in it.
  void SetHostList(const platform::HostList& list);

  // Records an observed condition. A condition other than kHealthy expires at
  // `expires_at`, so that a lost update cannot exclude an endpoint permanently.
  void SetCondition(const std::string& id,
                    EndpointCondition condition,
                    core::TimePoint expires_at);

  // Replaces the set of endpoint ids that an operator has drained.
  void SetDrained(std::set<std::string> drained);

  // Records the number of requests that a runner reported. The value lags
  // behind the actual load and is used only by strategies that rely on reports.
  void SetReportedRequests(const std::string& id, uint32_t requests);

  // Sets the placement weight of an endpoint, between 0 and 1, for slow start.
  void SetWeight(const std::string& id, double weight);

  // Returns the endpoint `id`, or nullptr. The pointer is valid until the next
  // SetHostList.
  const platform::ListedHost* Find(const std::string& id) const;

  // Returns true if `id` may receive new work.
  bool AcceptsWork(const std::string& id, core::TimePoint now) const;

  // Returns the endpoints of `pool` for placement, sorted by id. Endpoints that
  // do not accept new work have weight 0.
  std::vector<routing::RunnerView> PoolView(const core::PoolId& pool,
                                            core::TimePoint now) const;

  // Returns all hosts of one kind. The pointers are valid until the next
  // SetHostList.
  std::vector<const platform::ListedHost*> OfKind(
      platform::HostKind kind) const;

  // Returns the version of the current host list.
  uint64_t version() const { return version_; }

 private:
  struct Observation {
    EndpointCondition condition = EndpointCondition::kHealthy;
    core::TimePoint expires_at;
    uint32_t reported_requests = 0;
    double weight = 1.0;
  };

  uint64_t version_ = 0;
  std::map<std::string, platform::ListedHost> hosts_;
  std::map<std::string, Observation> observations_;
  std::set<std::string> drained_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ENDPOINT_DIRECTORY_H_
