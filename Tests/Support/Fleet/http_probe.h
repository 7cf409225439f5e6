// Blocking HTTP calls and waits for tests and launchers.

#ifndef TESTS_SUPPORT_FLEET_HTTP_PROBE_H_
#define TESTS_SUPPORT_FLEET_HTTP_PROBE_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "LibHttp/client.h"

namespace wasabi::support {

// Performs `request` and waits for its answer.
absl::StatusOr<http::ClientResponse> FetchNow(
    const http::ClientRequest& request);

// GET of `target`.
absl::StatusOr<http::ClientResponse> GetNow(const core::SocketAddress& address,
                                            const std::string& target);

// POST of `body` as JSON, for example of a fault to a stand-in.
absl::StatusOr<http::ClientResponse> PostNow(const core::SocketAddress& address,
                                             const std::string& target,
                                             const nlohmann::json& body);

// Calls `is_done` again and again until it is true or `timeout` has passed.
bool WaitUntil(const std::function<bool()>& is_done, core::Duration timeout);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FLEET_HTTP_PROBE_H_
