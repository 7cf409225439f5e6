// The ports between forwarding and the protocols of callers and endpoints. An
// adapter decodes wire names once and hands over typed values.

#ifndef LIBFORWARDING_PROTOCOLS_H_
#define LIBFORWARDING_PROTOCOLS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "LibForwarding/endpoint.h"
#include "LibForwarding/forward_request.h"
#include "LibHttp/message_parser.h"
#include "LibHttp/origin_client.h"
#include "LibHttp/transaction.h"
#include "absl/status/statusor.h"

namespace wasabi::forwarding {

class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  // Decodes a request and finds its route. Errors: kUnknownRoute,
  // kUnknownOrganisation, kMalformedRequest.
  virtual absl::StatusOr<ForwardRequest> Decode(
      const http::InboundRequest& inbound,
      const RouteTableView& table) const = 0;

  // The caller's name for a request, for logs, whether it can be decoded or
  // not; "" where it has none.
  virtual std::string RequestIdOf(
      const http::InboundRequest& inbound) const = 0;

  // The answer for a request that ends with an error of this host.
  virtual http::Answer EncodeError(const absl::Status& status) const = 0;

  // The fields of an endpoint's answer that the caller gets.
  virtual http::Headers AnswerHeaders(const http::Headers& headers) const = 0;
};

// What an answer's head says of the attempt.
enum class AttemptVerdict : uint8_t {
  // A success that belongs to the request.
  kSuccess,
  // The endpoint states that it did not run the request and never will.
  kNotRun,
  // The endpoint failed; the request may have run.
  kFailure,
  // A final answer that no other endpoint would change, such as 400.
  kFinal,
  // Not a proper answer to this request.
  kInvalid,
};

// What the sender adds to one attempt.
struct AttemptOptions {
  // Time that the caller still waits.
  core::Duration remaining{};
  // Continue after this event.
  std::optional<uint64_t> resume_after = {};
  // An endpoint from which to copy what it has cached of the prompt.
  std::optional<core::SocketAddress> prompt_source = {};
};

class EndpointProtocol {
 public:
  virtual ~EndpointProtocol() = default;

  virtual http::OriginRequest Encode(const ForwardRequest& request,
                                     const Endpoint& endpoint,
                                     const AttemptOptions& options) const = 0;

  // Whether an answer belongs to `request`. An answer that names no request
  // can only be trusted on a fresh connection.
  virtual bool IsAnswerTo(const ForwardRequest& request,
                          const http::MessageHead& head) const = 0;

  virtual AttemptVerdict Classify(const ForwardRequest& request,
                                  const http::MessageHead& head,
                                  bool is_reused_connection) const = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PROTOCOLS_H_
