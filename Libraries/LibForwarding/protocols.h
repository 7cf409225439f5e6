// Interfaces between forwarding and the protocols of callers and endpoints. An
// adapter decodes wire names once and passes on typed values.

#ifndef LIBFORWARDING_PROTOCOLS_H_
#define LIBFORWARDING_PROTOCOLS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "LibForwarding/endpoint.h"
#include "LibForwarding/forward_request.h"
#include "LibHttp/message_parser.h"
#include "LibHttp/origin_client.h"
#include "LibHttp/send_ledger.h"
#include "LibHttp/transaction.h"
#include "absl/status/statusor.h"

namespace wasabi::forwarding {

// Decodes the requests of callers and encodes the answers to them.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  // Decodes a request and finds its route. Errors: kUnknownRoute,
  // kUnknownOrganisation, kMalformedRequest.
  virtual absl::StatusOr<ForwardRequest> Decode(
      const http::InboundRequest& inbound,
      const RouteTableView& table) const = 0;

  // Returns the request id that the caller assigned, for log entries; "" if it
  // has none. Also works for requests that cannot be decoded.
  virtual std::string RequestIdOf(
      const http::InboundRequest& inbound) const = 0;

  // Encodes the answer to a request that this host ends with an error.
  virtual http::Answer EncodeError(const absl::Status& status) const = 0;

  // Returns the fields of an endpoint's answer that are sent to the caller.
  virtual http::Headers FilterResponseHeaders(
      const http::Headers& headers) const = 0;
};

// Classification of an endpoint's answer by its head.
enum class AttemptVerdict : uint8_t {
  // A success that belongs to the request.
  kSuccess,
  // The endpoint states that it did not run the request and never will.
  kNotRun,
  // The endpoint failed; the request may have run.
  kFailure,
  // A final answer, such as 400, that no other endpoint would change.
  kFinal,
  // Not a valid answer to this request.
  kInvalid,
};

// Options that the sender adds to one attempt.
struct AttemptOptions {
  // Remaining time until the answer is due.
  core::Duration remaining{};
  // Id of the event after which the stream is resumed.
  std::optional<uint64_t> resume_after = {};
  // Address of an endpoint from which to copy the cached part of the prompt.
  std::optional<core::SocketAddress> prompt_source = {};
};

// What an endpoint states of its load in an answer.
struct EndpointLoadNotice {
  // Requests that it runs, that wait there, and that it can run at once.
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // Time that work takes on its machine at this moment, as a multiple of the
  // usual time; nullopt if it does not state it.
  std::optional<double> machine_pace = {};

  auto operator<=>(const EndpointLoadNotice&) const = default;
};

// What an endpoint says about itself in an answer.
struct EndpointNotice {
  // The endpoint is about to exit and accepts no new requests.
  bool is_leaving = false;
  // Time for which the endpoint wants no requests from this host; zero if it
  // accepts requests.
  core::Duration pause{};
  // Requests per second that the endpoint accepts from all hosts together;
  // nullopt if it announces no limit.
  std::optional<double> max_per_second = {};
  // The endpoint crashes if it has to turn away too many requests for want of
  // room.
  bool is_brittle = false;
  // nullopt if the endpoint states no load.
  std::optional<EndpointLoadNotice> load = {};
  // Time for which the endpoint stays cold; zero if it states none.
  core::Duration cold_left{};

  auto operator<=>(const EndpointNotice&) const = default;
};

// Encodes the requests to endpoints and interprets their answers.
class EndpointProtocol {
 public:
  virtual ~EndpointProtocol() = default;

  virtual http::OriginRequest Encode(const ForwardRequest& request,
                                     const Endpoint& endpoint,
                                     const AttemptOptions& options) const = 0;

  // Returns what a response says of the request that it answers.
  virtual http::ResponseClaim ClaimIn(const http::MessageHead& head) const = 0;

  // Classifies an answer by its head.
  virtual AttemptVerdict Classify(const http::AnswerHead& answer) const = 0;

  // Returns what the endpoint says about itself in an answer; nullopt if the
  // answer is another endpoint's.
  virtual std::optional<EndpointNotice> NoticeIn(
      const http::AnswerHead& answer) const = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PROTOCOLS_H_
