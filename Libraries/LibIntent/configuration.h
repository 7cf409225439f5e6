// The configuration of the fleet as an immutable value. It is the fold of the
// platform's configuration stream; every daemon holds the same value at the
// same offset.

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

// How requests for one model are placed.
struct ModelPool {
  core::PoolId pool;
  // "owners" is the fleet's rule; the others are baselines for comparison:
  // "random", "least_reported", "plain_hash", "bounded_hash".
  std::string strategy = "owners";
  // A runner's load stays at or below ceil(load_bound × mean load).
  double load_bound = 1.25;
  // Most requests that may run on one runner at once, whatever the mean.
  int64_t max_running = 64;
  // Prefill speed for prompt tokens that are not cached, tokens per second.
  int64_t prefill_tokens_per_second = 8000;
  // What a second of cold prefill counts against a second of waiting at the
  // runner that has the chat's context; larger values favour cache reuse.
  double miss_cost_factor = 1;

  auto operator<=>(const ModelPool&) const = default;
};

struct Organisation {
  // Share of a contended runner, relative to the other organisations.
  double weight = 1.0;
  // Requests per second over the whole fleet; 0 means unlimited.
  double requests_per_second = 0;

  auto operator<=>(const Organisation&) const = default;
};

// A plain service beside the model engines.
struct PlainService {
  core::PoolId pool;
  // Whether a call may be repeated when its outcome is lost.
  bool is_repeatable = false;

  auto operator<=>(const PlainService&) const = default;
};

// One business of the operators.
struct Deployment {
  // Model name to pool.
  std::map<std::string, ModelPool> models;
  // Service name to pool.
  std::map<std::string, PlainService> services;
  std::map<core::OrganisationId, Organisation> organisations;

  auto operator<=>(const Deployment&) const = default;
};

// The state that orders bring an endpoint to.
struct WantedState {
  std::string model;
  std::string adapter;
  std::string version;
  // "serving", "standby" or "prefill".
  std::string role = "serving";

  auto operator<=>(const WantedState&) const = default;
};

struct Configuration {
  // Offset of the last record folded in, or -1 before the first.
  int64_t revision = -1;
  std::map<core::DeploymentId, Deployment> deployments;
  // Endpoints that get no new work by an operator's decision.
  std::set<std::string> drained_endpoints;
  // Endpoint id to the state that it is to be in.
  std::map<std::string, WantedState> wanted_states;

  auto operator<=>(const Configuration&) const = default;

  // The deployment that has `organisation`, or nullptr.
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
