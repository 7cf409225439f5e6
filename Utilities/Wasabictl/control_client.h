// A blocking client of the intent API. It tries several control daemons in
// order.

#ifndef UTILITIES_WASABICTL_CONTROL_CLIENT_H_
#define UTILITIES_WASABICTL_CONTROL_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/client.h"
#include "absl/status/statusor.h"

namespace wasabi::wasabictl {

// The response of a control daemon, with any HTTP status.
struct ControlAnswer {
  int http_status = 0;
  nlohmann::json body;
  // The error in the body with its result code and retry time; OK if the body
  // has no error.
  absl::Status status;
};

class ControlClient {
 public:
  // `timeout` applies to each daemon separately.
  ControlClient(std::vector<core::SocketAddress> addresses,
                core::Duration timeout);

  // Sends the request to each daemon in order until one responds. A response
  // with kUnknownPlan or kStopping also moves on to the next daemon, which may
  // have the plan or still accept requests; the last such response is returned
  // if no daemon gives another. Runs the client's own event loop until then.
  // Errors: kPeerUnreachable if no daemon responded; kAnswerTruncated or
  // kDeadlineExceeded if the request was sent and its response was lost;
  // kMalformedMessage if the response is not JSON.
  absl::StatusOr<ControlAnswer> Call(const std::string& method,
                                     const std::string& target,
                                     const std::string& body = "");

 private:
  absl::StatusOr<ControlAnswer> CallOne(const core::SocketAddress& address,
                                        const std::string& method,
                                        const std::string& target,
                                        const std::string& body);

  const std::vector<core::SocketAddress> addresses_;
  const core::Duration timeout_;
  core::EventLoop loop_;
  http::Client client_;
};

}  // namespace wasabi::wasabictl

#endif  // UTILITIES_WASABICTL_CONTROL_CLIENT_H_
