// Builds the error responses for callers and operators.

#ifndef SERVICES_ROUTER_ERROR_RESPONSE_H_
#define SERVICES_ROUTER_ERROR_RESPONSE_H_

#include <memory>
#include <string>

#include "LibHttp/exchange.h"
#include "absl/status/status.h"

namespace wasabi::router {

// Returns a JSON object of the form
// {"error":{"code","name","message","retry_after_ms"}}. "retry_after_ms" is
// present only if `status` has a retry delay.
std::string ErrorBody(const absl::Status& status);

// Responds to `exchange` with the HTTP status, headers and body for `status`.
// If `request_id` is empty, the response has no request id header.
void RespondError(const std::shared_ptr<http::Exchange>& exchange,
                  const absl::Status& status,
                  const std::string& request_id);

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ERROR_RESPONSE_H_
