// Records what the callers, endpoints and operator of a soak run observed.

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
  // A stream that may run once and outlasts what a stopping host has left.
  kLongStream,
  // Sent to a route that each configuration moves between two pools.
  kMovedRoute,
  // Sent with an API key that each configuration replaces.
  kReplacedKey,
  // Sent with an API key that no configuration contains.
  kUnknownKey,
  kCount,
};

struct Call {
  core::RequestId id;
  CallKind kind = CallKind::kIdempotent;
  // Index of the host that the call was sent to.
  size_t host = 0;
  std::string method;
  std::string target;
  std::string body;
  // Version of the configuration whose key a kReplacedKey call uses.
  int64_t key_version = 0;
  core::Duration deadline{};
  // The id of the part in its prompt that crashes endpoints; empty if it has
  // none.
  std::string harmful_part;
  // If the call takes a stream up: the call that brought its first event, and
  // the id of the last event that the caller has.
  std::optional<core::RequestId> first_attempt;
  uint64_t resume_after = 0;
  // Number of times that the stream was taken up, this one included.
  size_t take_ups = 0;
  core::TimePoint sent_at;
  // When its last byte was sent; nullopt if it was not.
  std::optional<core::TimePoint> whole_at;
  // Its body comes in several pieces, as chunks.
  bool is_piecewise = false;

  // The answer as received so far.
  int status = 0;
  std::string signature;
  std::string answer;
  std::optional<http::OriginOutcome> end;
  core::TimePoint ended_at;
  // When the caller closed its connection before the answer was complete.
  std::optional<core::TimePoint> disconnected_at;
};

struct Configuration {
  int64_t version = 0;
  // The pool that serves kMovedRoute calls.
  core::PoolId moving_pool;
  core::TimePoint acknowledged_at;
};

// The removal of an endpoint, and when the store acknowledged it.
struct Departure {
  core::RunnerId endpoint;
  core::TimePoint acknowledged_at;
};

// An endpoint that ended, and another one that took its address over at once.
struct Renewal {
  core::RunnerId ended;
  core::RunnerId successor;
};

// A period in which no request may be sent to the endpoints of a data centre.
struct Evacuation {
  core::DataCentreId data_centre;
  // When the store acknowledged the order, and its removal.
  core::TimePoint from;
  std::optional<core::TimePoint> to;
};

// A period in which an endpoint named a limit in its answers.
struct LimitPeriod {
  core::RunnerId endpoint;
  // Requests per second from all hosts together.
  double per_second = 0;
  core::TimePoint from;
  core::TimePoint to;
};

// A period in which the endpoints of a pool are brittle and let none wait, and
// when they fell over.
struct BrittlePeriod {
  core::PoolId pool;
  size_t endpoints = 0;
  core::TimePoint from;
  core::TimePoint to;
  std::vector<core::TimePoint> falls;
};

// An interval in which the test disturbed a host, the store or an endpoint.
struct Disturbance {
  enum class Scope : uint8_t { kHost, kStore, kEndpoint };
  Scope scope = Scope::kHost;
  // Index of the host; only used with Scope::kHost.
  size_t host = 0;
  // Only used with Scope::kEndpoint.
  core::RunnerId endpoint = {};
  // Planned maintenance, which must not interrupt any request; of a host: from
  // the first SIGTERM until the process starts again.
  bool is_planned = false;
  core::TimePoint from;
  core::TimePoint to;
};

struct History {
  std::vector<std::shared_ptr<Call>> calls;
  std::vector<std::shared_ptr<support::EndpointRun>> runs;
  std::vector<Configuration> configurations;
  std::vector<Departure> departures;
  std::vector<Renewal> renewals;
  std::vector<LimitPeriod> limits;
  std::vector<BrittlePeriod> brittle_periods;
  std::vector<Evacuation> evacuations;
  std::vector<std::shared_ptr<Disturbance>> disturbances;
  // One entry per host that exited unexpectedly, with its exit status.
  std::vector<std::string> crashes;
  core::TimePoint started_at;
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_HISTORY_H_
