// Extracts result codes and retry delays from the system's HTTP error
// responses.

#ifndef UTILITIES_LOAD_HTTP_ERROR_H_
#define UTILITIES_LOAD_HTTP_ERROR_H_

#include <string>

#include "LibCore/text.h"
#include "LibCore/time.h"
#include "LibHttp/headers.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::load {

// Result codes in [kFirstRefusal, kLastRefusal] state that the request was
// refused and not run.
inline constexpr int kFirstRefusal = 300;
inline constexpr int kLastRefusal = 399;
inline constexpr int kStoppingCode = 305;
// Result codes in [kFirstInterProcessError, kLastInterProcessError] report
// failures between the system's processes.
inline constexpr int kFirstInterProcessError = 500;
inline constexpr int kLastInterProcessError = 599;
inline constexpr int kOutcomeUnknownCode = 402;
inline constexpr int kUnknownRequestCode = 206;

inline bool IsRefusal(int code) {
  return code >= kFirstRefusal && code <= kLastRefusal;
}

inline bool IsInterProcessError(int code) {
  return code >= kFirstInterProcessError && code <= kLastInterProcessError;
}

// Returns the result code of a response with an error status, from its header
// or else its body; the HTTP status itself if neither contains one.
inline int ErrorCodeOf(int http_status,
                       const http::Headers& headers,
                       const std::string& body) {
  const auto header =
      core::ParseNumber<int>(headers.Get(http::kResultCodeHeader));
  if (header) {
    return *header;
  }
  const nlohmann::json json = support::ParseObject(body);
  if (json.is_object() && json.contains("error") && json["error"].is_object()) {
    return json["error"].value("code", http_status);
  }
  return http_status;
}

// Returns how long a refusal asks its caller to wait before a retry.
inline core::Duration RetryAfterOf(const http::Headers& headers) {
  constexpr core::Duration kDefaultWait = std::chrono::milliseconds(500);
  const auto wait_ms =
      core::ParseNumber<int64_t>(headers.Get(http::kRetryAfterMsHeader));
  if (wait_ms) {
    return core::milliseconds(*wait_ms);
  }
  const auto wait_s =
      core::ParseNumber<int64_t>(headers.Get(http::kRetryAfterHeader));
  return wait_s ? core::Duration(core::seconds(*wait_s)) : kDefaultWait;
}

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_HTTP_ERROR_H_
