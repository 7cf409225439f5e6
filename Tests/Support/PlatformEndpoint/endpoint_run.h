// Records of the requests that endpoints received and how each of them ended,
// and the answers that endpoints give.

#ifndef TESTS_SUPPORT_PLATFORMENDPOINT_ENDPOINT_RUN_H_
#define TESTS_SUPPORT_PLATFORMENDPOINT_ENDPOINT_RUN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/identifier.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"
#include "LibHttp/headers.h"

namespace wasabi::support {

enum class RunEnd : uint8_t {
  kRunning,
  // Not run: no free slot, or addressed to another endpoint.
  kRefused,
  kAnswered,
  kFailed,
  // The request ran, but its answer was cut off or never sent.
  kCut,
  // The client closed its connection.
  kCancelled,
};

// One request that reached an endpoint.
struct EndpointRun {
  // The endpoint that the request was sent to. If that one no longer serves at
  // the address, another one has refused the request.
  core::RunnerId endpoint;
  // Where the request arrived; connections have different numbers, also those
  // of different endpoints.
  core::SocketAddress address;
  uint64_t connection = 0;
  core::PoolId pool;
  std::string software_version;
  core::RequestId request;
  std::string method;
  std::string target;
  std::string body;
  http::Headers headers;
  // The remaining time from the deadline header, if there was one.
  std::optional<core::Duration> remaining;
  // The id of the last event that the client has received, if it resumes a
  // stream.
  std::optional<uint64_t> resume_after;
  // The signature in the header of the answer, which identifies this run.
  std::string signature;
  core::TimePoint started_at;
  core::TimePoint ended_at;
  RunEnd end = RunEnd::kRunning;
  // As the request arrived, a copy of the refusal of this request was written
  // on its connection.
  std::optional<core::RequestId> copied_refusal;
  // The answer stated that the endpoint is leaving.
  bool announces_departure = false;
  // The refusal asked for no requests until this time.
  std::optional<core::TimePoint> paused_until;
  // When the answer told the client the limit of the endpoint, if it named one.
  std::optional<core::TimePoint> limit_named_at;
  // The endpoint crashed because it ran this request.
  bool crashes_endpoint = false;
};

// Prompt parts whose ids begin with this crash every endpoint that runs them,
// unless they are the last of their prompt.
inline constexpr std::string_view kHarmfulPartPrefix = "bad";

// Returns the id of the part in the request's prompt that crashes endpoints, or
// "" if there is none.
std::string HarmfulPartIn(const http::Headers& headers);

// The answers that endpoints give. They depend only on the request id, or on
// that of the attempt that began a stream, so that a stream can be resumed at
// another endpoint. Events also tell the software version that generated them.
std::string PlainAnswerOf(const core::RequestId& request);
uint64_t EventCountOf(const core::RequestId& request);
// Returns the event with this id; ids start at 1.
std::string EventOf(const core::RequestId& request,
                    uint64_t id,
                    const std::string& software_version);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_PLATFORMENDPOINT_ENDPOINT_RUN_H_
