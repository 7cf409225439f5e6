#include "LibPlatform/http_response.h"

#include <optional>
#include <string>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::platform {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

std::optional<core::Duration> RetryAfterOf(const http::Headers& headers) {
  if (const auto ms =
          core::ParseNumber<int64_t>(headers.Get(http::kRetryAfterMsHeader))) {
    return core::milliseconds(*ms);
  }
  if (const auto s =
          core::ParseNumber<int64_t>(headers.Get(http::kRetryAfterHeader))) {
    return core::seconds(*s);
  }
  return std::nullopt;
}

}  // namespace

bool IsRefusal(const http::ClientResponse& response) {
  return response.status == kTooManyRequests ||
         response.status == kServiceUnavailable;
}

absl::Status RefusalOf(const http::ClientResponse& response) {
  const std::string message = fmt::format(
      "the platform responded with HTTP status {}", response.status);
  constexpr core::ResultCode kCode = core::ResultCode::kPlatformUnavailable;
  const auto retry_after = RetryAfterOf(response.headers);
  return retry_after ? core::MakeRefusal(kCode, message, *retry_after)
                     : core::MakeStatus(kCode, message);
}

}  // namespace wasabi::platform
