// What the platform's HTTP answers have in common.

#ifndef LIBPLATFORM_HTTP_ANSWER_H_
#define LIBPLATFORM_HTTP_ANSWER_H_

#include "LibHttp/client.h"
#include "absl/status/status.h"

namespace wasabi::platform {

// Whether the platform refused the call without any effect: its rate is used
// up (429) or it has an outage (503).
bool IsRefusal(const http::ClientResponse& response);

// kPlatformUnavailable with the answer's status and, where it names one, the
// time after which to come back.
absl::Status RefusalOf(const http::ClientResponse& response);

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_HTTP_ANSWER_H_
