// The endpoints that the fleet routes to, from the platform's host list and
// from what owners have seen of them.

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

// What an owner has seen of an endpoint.
enum class EndpointCondition : uint8_t { kHealthy, kLeaving, kDown };

class EndpointDirectory {
 public:
  // Takes a new host list. Endpoints that it lacks are forgotten.
  void SetHostList(const platform::HostList& list);

  // Takes what an owner saw; a condition other than kHealthy expires at
  // `expires_at`, so that a lost update can't take an endpoint out for good.
  void SetCondition(const std::string& id,
                    EndpointCondition condition,
                    core::TimePoint expires_at);

  // Endpoints that an operator took out.
  void SetDrained(std::set<std::string> drained);

  // A runner's own, lagging report, for the strategies that use it.
  void SetReportedRequests(const std::string& id, uint32_t requests);

  // A weight between 0 and 1 for an endpoint that starts slowly.
  void SetWeight(const std::string& id, double weight);

  // The endpoint `id`, or nullptr.
  const platform::ListedHost* Find(const std::string& id) const;

  // True where `id` may get new work.
  bool AcceptsWork(const std::string& id, core::TimePoint now) const;

  // The endpoints of `pool` as placement sees them, sorted by id; those that
  // take no new work have the weight 0.
  std::vector<routing::RunnerView> PoolView(const core::PoolId& pool,
                                            core::TimePoint now) const;

  // All endpoints of one kind.
  std::vector<const platform::ListedHost*> OfKind(
      platform::HostKind kind) const;

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
