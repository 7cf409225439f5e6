// Typed elements of a routing configuration.

#ifndef LIBFORWARDING_ROUTE_H_
#define LIBFORWARDING_ROUTE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"

namespace wasabi::forwarding {

// How a request may be repeated after it may have run.
enum class RepeatPolicy : uint8_t {
  // The request may run again from the start.
  kIdempotent,
  // The request may run at most once for each request id.
  kAtMostOnce,
  // The request is a stream that another endpoint may resume after the last
  // complete event.
  kResumable,
};

// One of the pools among which a route divides its requests, and its weight.
struct WeightedPool {
  core::PoolId pool;
  uint32_t weight = 1;

  auto operator<=>(const WeightedPool&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RepeatPolicy repeat = RepeatPolicy::kAtMostOnce;
  bool is_stream = false;
  // Whether callers need no API key.
  bool is_public = false;
  // Whether requests share prompt parts, which endpoints cache.
  bool has_prompt_affinity = false;
  // Maximum time until the final answer.
  core::Duration timeout{};
  // Target time until the answer, or until the first event of a stream.
  core::Duration latency_objective{};
  // Target for the longest pause between two events of a stream; zero if there
  // is none.
  core::Duration gap_objective{};
  // Maximum number of endpoints that may run one request.
  uint32_t max_attempts = 1;
  // 0 is the most urgent.
  int priority = 0;
  std::vector<WeightedPool> pools;

  auto operator<=>(const Route&) const = default;
};

// A group of endpoints that provide one service.
struct Pool {
  core::PoolId id;
  // Maximum number of connections that one endpoint accepts from all callers.
  uint32_t max_connections = 0;
  // Whether an endpoint can copy cached prompts from another one.
  bool copies_prompts = false;
  // Tokens of prompts and outputs that the memory of one endpoint holds, and
  // requests that it runs at once; 0 if unknown. An endpoint whose requests
  // exceed its memory crashes.
  uint64_t memory_tokens = 0;
  uint32_t engine_slots = 0;
  // For this time after its start an endpoint is cold: it crashes under many
  // more requests per second than `cold_per_second`. If either is zero, the
  // pool's endpoints are never cold.
  core::Duration warm_up{};
  double cold_per_second = 0;

  bool MayBeCold() const {
    return warm_up > core::Duration::zero() && cold_per_second > 0;
  }
  auto operator<=>(const Pool&) const = default;
};

struct Organisation {
  core::OrganisationId id;
  // Overrides the priority of the route.
  std::optional<int> priority;

  auto operator<=>(const Organisation&) const = default;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ROUTE_H_
