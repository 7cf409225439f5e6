#include "Services/Router/error_response.h"

#include <nlohmann/json.hpp>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::router {

namespace {

constexpr int64_t kMillisecondsPerSecond = 1000;

}  // namespace

std::string ErrorBody(const absl::Status& status) {
  const core::ResultCode code = core::CodeOf(status);
  nlohmann::json error = {{"code", static_cast<int>(code)},
                          {"name", core::Describe(code).name},
                          {"message", core::MessageOf(status)}};
  if (const auto retry_after = core::RetryAfterOf(status)) {
    error["retry_after_ms"] = core::ToMilliseconds(*retry_after);
  }
  const nlohmann::json body = {{"error", error}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void RespondError(const std::shared_ptr<http::Exchange>& exchange,
                  const absl::Status& status,
                  const std::string& request_id) {
  const core::ResultCode code = core::CodeOf(status);
  http::Headers headers = {{"Content-Type", "application/json"},
                           {std::string(http::kResultCodeHeader),
                            std::to_string(static_cast<int>(code))}};
  if (!request_id.empty()) {
    headers.Add(std::string(http::kRequestIdHeader), request_id);
  }
  if (const auto retry_after = core::RetryAfterOf(status)) {
    const int64_t wait_ms = core::ToMilliseconds(*retry_after);
    const int64_t wait_seconds =
        (wait_ms + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    headers.Add(std::string(http::kRetryAfterHeader),
                std::to_string(wait_seconds));
    headers.Add(std::string(http::kRetryAfterMsHeader),
                std::to_string(wait_ms));
  }
  exchange->Respond(core::Describe(code).http_status, headers,
                    ErrorBody(status));
}

}  // namespace wasabi::router
