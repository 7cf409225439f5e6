// The fleet configuration as an immutable value. It is computed by folding the
// records of the platform's configuration stream, so all daemons that applied
// the same offset hold the same value.

#ifndef LIBINTENT_CONFIGURATION_H_
#define LIBINTENT_CONFIGURATION_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "LibCore/identifier.h"

namespace wasabi::intent {

// The pool that serves one model, and how requests are placed on its runners.
struct ModelPool {
  core::PoolId pool;
  // Placement strategy. "owners" is used in production; "random",
  // "least_reported", "plain_hash" and "bounded_hash" are baselines for
  // comparison.
  std::string strategy = "owners";
  // A runner's load stays at or below ceil(load_bound × mean load).
  double load_bound = 1.25;
  // Maximum number of concurrent requests on one runner, independent of the
  // mean load.
  int64_t max_running = 64;
  // Prefill speed for uncached prompt tokens, in tokens per second.
  int64_t prefill_tokens_per_second = 8000;
  // Weight of one second of uncached prefill relative to one second of queueing
  // at the runner that has the chat's context cached. Larger values favour
  // cache reuse.
  double miss_cost_factor = 1;

  auto operator<=>(const ModelPool&) const = default;
};

// Limits and fair-share weight of one organisation.
struct Organisation {
  // Share of a contended runner, relative to the other organisations.
  double weight = 1.0;
  // Rate limit over the whole fleet, in requests per second; 0 means unlimited.
  double requests_per_second = 0;

  auto operator<=>(const Organisation&) const = default;
};

// A service that is not a model engine.
struct PlainService {
  core::PoolId pool;
  // True if a call whose outcome is unknown may be retried.
  bool is_repeatable = false;

  auto operator<=>(const PlainService&) const = default;
};

// The models, services and organisations of one business that the operators
// run.
struct Deployment {
  // Keyed by model name.
  std::map<std::string, ModelPool> models;
  // Keyed by service name.
  std::map<std::string, PlainService> services;
  std::map<core::OrganisationId, Organisation> organisations;

  auto operator<=>(const Deployment&) const = default;
};

// The wanted state of an endpoint. Control daemons send orders until the
// endpoint reports it.
struct WantedState {
  std::string model;
  std::string adapter;
  std::string version;
  // "serving", "standby" or "prefill".
  std::string role = "serving";

  auto operator<=>(const WantedState&) const = default;
};

struct Configuration {
  // Offset of the last applied record, or -1 before the first one.
  int64_t revision = -1;
  std::map<core::DeploymentId, Deployment> deployments;
  // Ids of endpoints that an operator drained; they receive no new requests.
  std::set<std::string> drained_endpoints;
  // Wanted states, keyed by endpoint id.
  std::map<std::string, WantedState> wanted_states;

  auto operator<=>(const Configuration&) const = default;

  // Returns the deployment that `organisation` belongs to, or nullptr.
  const Deployment* DeploymentOf(
      const core::OrganisationId& organisation) const {
    for (const auto& [id, deployment] : deployments) {
      if (deployment.organisations.contains(organisation)) {
        return &deployment;
      }
    }
    return nullptr;
  }
};

using ConfigurationView = std::shared_ptr<const Configuration>;

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_H_
