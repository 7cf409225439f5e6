#include "Services/Router/endpoint_directory.h"

#include <utility>

namespace wasabi::router {

void EndpointDirectory::SetHostList(const platform::HostList& list) {
  version_ = list.version;
  hosts_.clear();
  for (const platform::ListedHost& host : list.hosts) {
    hosts_.emplace(host.id, host);
  }
  std::erase_if(observations_,
                [this](const auto& it) { return !hosts_.contains(it.first); });
}

void EndpointDirectory::SetCondition(const std::string& id,
                                     EndpointCondition condition,
                                     core::TimePoint expires_at) {
  Observation& observation = observations_[id];
  observation.condition = condition;
  observation.expires_at = expires_at;
}

void EndpointDirectory::SetDrained(std::set<std::string> drained) {
  drained_ = std::move(drained);
}

void EndpointDirectory::SetReportedRequests(const std::string& id,
                                            uint32_t requests) {
  observations_[id].reported_requests = requests;
}

void EndpointDirectory::SetWeight(const std::string& id, double weight) {
  observations_[id].weight = weight;
}

const platform::ListedHost* EndpointDirectory::Find(
    const std::string& id) const {
  const auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : &it->second;
}

bool EndpointDirectory::AcceptsWork(const std::string& id,
                                    core::TimePoint now) const {
  const platform::ListedHost* host = Find(id);
  if (host == nullptr || host->state == platform::HostState::kLeaving ||
      drained_.contains(id)) {
    return false;
  }
  const auto it = observations_.find(id);
  return it == observations_.end() ||
         it->second.condition == EndpointCondition::kHealthy ||
         it->second.expires_at < now;
}

std::vector<routing::RunnerView> EndpointDirectory::PoolView(
    const core::PoolId& pool,
    core::TimePoint now) const {
  std::vector<routing::RunnerView> view;
  for (const auto& [id, host] : hosts_) {
    if (host.kind == platform::HostKind::kEntry || host.pool != pool) {
      continue;
    }
    routing::RunnerView runner;
    runner.id = core::RunnerId(id);
    const auto it = observations_.find(id);
    if (it != observations_.end()) {
      runner.reported_requests = it->second.reported_requests;
      runner.weight = it->second.weight;
    }
    if (!AcceptsWork(id, now)) {
      runner.weight = 0;
    }
    view.push_back(runner);
  }
  return view;
}

std::vector<const platform::ListedHost*> EndpointDirectory::OfKind(
    platform::HostKind kind) const {
  std::vector<const platform::ListedHost*> hosts;
  for (const auto& [id, host] : hosts_) {
    if (host.kind == kind) {
      hosts.push_back(&host);
    }
  }
  return hosts;
}

}  // namespace wasabi::router
