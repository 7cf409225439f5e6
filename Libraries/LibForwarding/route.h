// The typed parts of a routing configuration.

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

// What may be done with a request after it may have run.
enum class RepeatPolicy : uint8_t {
  // It may run again from the start.
  kIdempotent,
  // It may run once for each request id.
  kAtMostOnce,
  // A stream that another endpoint may continue after the last whole event.
  kResumable,
};

// One of the pools among which a route divides its requests.
struct PoolShare {
  core::PoolId pool;
  uint32_t weight = 1;

  auto operator<=>(const PoolShare&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RepeatPolicy repeat = RepeatPolicy::kAtMostOnce;
  bool is_stream = false;
  // Whether callers need no key.
  bool is_public = false;
  // Whether requests share prompt parts that an endpoint caches.
  bool has_prompt_affinity = false;
  // Longest time until the final answer.
  core::Duration timeout{};
  // Time to the answer, or to the first event of a stream.
  core::Duration latency_objective{};
  // Longest pause between two events of a stream; zero where there is none.
  core::Duration gap_objective{};
  // Most endpoints that may run one request.
  uint32_t max_attempts = 1;
  // 0 is the most urgent.
  int priority = 0;
  std::vector<PoolShare> pools;

  auto operator<=>(const Route&) const = default;
};

// The endpoints of one service.
struct Pool {
  core::PoolId id;
  // Most connections that one endpoint accepts from all callers.
  uint32_t max_connections = 0;
  // Whether an endpoint can copy cached prompts from another one.
  bool copies_prompts = false;

  auto operator<=>(const Pool&) const = default;
};

struct Organisation {
  core::OrganisationId id;
  // Goes before the priority of the route.
  std::optional<int> priority;

  auto operator<=>(const Organisation&) const = default;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ROUTE_H_
