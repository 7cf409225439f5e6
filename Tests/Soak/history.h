// What callers, endpoints and the operator of a soak run have seen.

#ifndef TESTS_SOAK_HISTORY_H_
#define TESTS_SOAK_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibHttp/headers.h"
#include "LibHttp/origin_client.h"
#include "Tests/Support/PlatformEndpoint/endpoint_run.h"

namespace wasabi::soak {

enum class CallKind : uint8_t {
  kIdempotent,
  kAtMostOnce,
  kResumableStream,
  kStreamOnce,
  // To a route that configurations move between two pools.
  kMoving,
  // With a key that each configuration replaces.
  kReplacedKey,
  // With a key that no configuration has.
  kUnknownKey,
  kCount,
};

struct Call {
  core::RequestId id;
  CallKind kind = CallKind::kIdempotent;
  size_t host = 0;
  std::string method;
  std::string target;
  std::string body;
  // Version of the configuration that has the call's key.
  int64_t key_version = 0;
  core::Duration deadline{};
  core::TimePoint sent_at;

  // The answer.
  int status = 0;
  std::string signature;
  std::string answer;
  std::optional<http::OriginOutcome> end;
  core::TimePoint ended_at;
  // The caller closed its connection before the answer was complete.
  std::optional<core::TimePoint> left_at;
};

struct Configuration {
  int64_t version = 0;
  // Where kMoving calls go.
  core::PoolId moving_pool;
  core::TimePoint acknowledged_at;
};

// An endpoint whose leaving the store has acknowledged.
struct Departure {
  core::RunnerId endpoint;
  core::TimePoint acknowledged_at;
};

// A time in which something was disturbed from outside.
struct Disturbance {
  enum class Scope : uint8_t { kHost, kStore, kEndpoint };
  Scope scope = Scope::kHost;
  // The host; unused for other scopes.
  size_t host = 0;
  core::RunnerId endpoint = {};
  // Signals that must not cost a request.
  bool is_planned = false;
  core::TimePoint from;
  core::TimePoint to;
};

struct History {
  std::vector<std::shared_ptr<Call>> calls;
  std::vector<std::shared_ptr<support::EndpointRun>> runs;
  std::vector<Configuration> configurations;
  std::vector<Departure> departures;
  std::vector<std::shared_ptr<Disturbance>> disturbances;
  // Hosts that ended by themselves, with how.
  std::vector<std::string> crashes;
  core::TimePoint started_at;
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_HISTORY_H_
