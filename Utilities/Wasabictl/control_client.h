// A blocking client of the intent API that tries one control daemon after the
// other.

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

// An answer of a control daemon, whatever its HTTP status.
struct ControlAnswer {
  int http_status = 0;
  nlohmann::json body;
  // The error in the body with its code and retry time, or OK.
  absl::Status status;
};

class ControlClient {
 public:
  ControlClient(std::vector<core::SocketAddress> addresses,
                core::Duration timeout);

  // Sends to the first daemon that can be reached. A daemon that answers
  // kUnknownPlan or kStopping is passed over too, since another one may know
  // better; the last such answer is returned where none does. Errors:
  // kPeerUnreachable where no daemon answered; kAnswerTruncated or
  // kDeadlineExceeded where the request was sent and its answer was lost.
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
