// Blocking HTTP calls and polling for tests and launchers.

#ifndef TESTS_SUPPORT_FLEET_HTTP_PROBE_H_
#define TESTS_SUPPORT_FLEET_HTTP_PROBE_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "LibHttp/client.h"

namespace wasabi::support {

// Sends `request` and blocks until the response is complete. A request without
// a total timeout gets one of 5 s.
absl::StatusOr<http::ClientResponse> FetchNow(
    const http::ClientRequest& request);

// Sends a GET request for `target`.
absl::StatusOr<http::ClientResponse> GetNow(const core::SocketAddress& address,
                                            const std::string& target);

// Sends a POST request with `body` as JSON, for example a fault to a stand-in.
absl::StatusOr<http::ClientResponse> PostNow(const core::SocketAddress& address,
                                             const std::string& target,
                                             const nlohmann::json& body);

// Polls `is_done` until it returns true or `timeout` has passed. Returns its
// last result.
bool WaitUntil(const std::function<bool()>& is_done, core::Duration timeout);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FLEET_HTTP_PROBE_H_
