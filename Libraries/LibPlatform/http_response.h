// Helpers for the platform's HTTP responses.

#ifndef LIBPLATFORM_HTTP_RESPONSE_H_
#define LIBPLATFORM_HTTP_RESPONSE_H_

#include "LibHttp/client.h"
#include "absl/status/status.h"

namespace wasabi::platform {

// Returns true if the platform refused the call without any effect, since its
// rate limit is exceeded (429) or it has an outage (503).
bool IsRefusal(const http::ClientResponse& response);

// Returns kPlatformUnavailable with the HTTP status of the response and its
// retry delay, if it has one.
absl::Status RefusalOf(const http::ClientResponse& response);

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_HTTP_RESPONSE_H_
