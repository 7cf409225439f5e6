// Sends the JSON responses of the intent API.

#ifndef SERVICES_CONTROL_HTTP_REPLY_H_
#define SERVICES_CONTROL_HTTP_REPLY_H_

#include <memory>
#include <nlohmann/json.hpp>

#include "LibHttp/exchange.h"
#include "absl/status/status.h"

namespace wasabi::control {

// Responds with HTTP status 200 and `body`.
void RespondJson(const std::shared_ptr<http::Exchange>& exchange,
                 const nlohmann::json& body);

// Responds with the HTTP status, the headers and the "error" object for
// `status`. `details` must be an object; its members are added to the body.
void RespondError(const std::shared_ptr<http::Exchange>& exchange,
                  const absl::Status& status,
                  nlohmann::json details = nlohmann::json::object());

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_HTTP_REPLY_H_
