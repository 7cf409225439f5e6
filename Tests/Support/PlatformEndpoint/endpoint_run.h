// What endpoints received and ran, as they tell it.

#ifndef TESTS_SUPPORT_PLATFORMENDPOINT_ENDPOINT_RUN_H_
#define TESTS_SUPPORT_PLATFORMENDPOINT_ENDPOINT_RUN_H_

#include <cstdint>
#include <optional>
#include <string>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibHttp/headers.h"

namespace wasabi::support {

enum class RunEnd : uint8_t {
  kRunning,
  // Not run: no place, or meant for another endpoint.
  kRefused,
  kAnswered,
  kFailed,
  // It ran and the answer was cut off or never sent.
  kCut,
  // The sender closed its connection.
  kCancelled,
};

// One request that reached an endpoint.
struct EndpointRun {
  core::RunnerId endpoint;
  core::PoolId pool;
  core::RequestId request;
  std::string method;
  std::string target;
  std::string body;
  http::Headers headers;
  // Time that the endpoint was given.
  std::optional<core::Duration> remaining;
  std::optional<uint64_t> resume_after;
  // The signature of the answer.
  std::string signature;
  core::TimePoint started_at;
  core::TimePoint ended_at;
  RunEnd end = RunEnd::kRunning;
};

// The answers that endpoints give, known from the request alone, so that a
// stream can go on at another endpoint.
std::string PlainAnswerOf(const core::RequestId& request);
uint64_t EventCountOf(const core::RequestId& request);
// The event with this id; ids count from 1.
std::string EventOf(const core::RequestId& request, uint64_t id);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_PLATFORMENDPOINT_ENDPOINT_RUN_H_
