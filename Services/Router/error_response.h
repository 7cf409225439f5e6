// The answer that callers and operators get for an error.

#ifndef SERVICES_ROUTER_ERROR_RESPONSE_H_
#define SERVICES_ROUTER_ERROR_RESPONSE_H_

#include <memory>
#include <string>

#include "LibHttp/exchange.h"
#include "absl/status/status.h"

namespace wasabi::router {

// {"error":{"code","name","message","retry_after_ms"}}.
std::string ErrorBody(const absl::Status& status);

// Answers `exchange` with the HTTP status, the headers and the body that belong
// to `status`. `request_id` may be empty.
void RespondError(const std::shared_ptr<http::Exchange>& exchange,
                  const absl::Status& status,
                  const std::string& request_id);

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ERROR_RESPONSE_H_
