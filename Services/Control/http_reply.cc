#include "Services/Control/http_reply.h"

#include <string>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/time.h"
#include "LibIntent/configuration_json.h"

namespace wasabi::control {

namespace {

constexpr int kHttpOk = 200;
constexpr int64_t kMillisecondsPerSecond = 1000;

// Adds the time to both the error object and the headers. Retry-After has a
// resolution of whole seconds and is rounded up.
void AddRetryAfter(core::Duration retry_after,
                   nlohmann::json* error,
                   http::Headers* headers) {
  const int64_t ms = core::ToMilliseconds(retry_after);
  const int64_t whole_seconds =
      (ms + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
  (*error)["retry_after_ms"] = ms;
  headers->Add(std::string(http::kRetryAfterHeader),
               std::to_string(whole_seconds));
  headers->Add(std::string(http::kRetryAfterMsHeader), std::to_string(ms));
}

}  // namespace

void RespondJson(const std::shared_ptr<http::Exchange>& exchange,
                 const nlohmann::json& body) {
  exchange->Respond(kHttpOk, {{"Content-Type", "application/json"}},
                    intent::DumpJson(body));
}

void RespondError(const std::shared_ptr<http::Exchange>& exchange,
                  const absl::Status& status,
                  nlohmann::json details) {
  const core::ResultCodeEntry& entry = core::Describe(core::CodeOf(status));
  const int code = static_cast<int>(entry.code);
  nlohmann::json error = {{"code", code},
                          {"name", std::string(entry.name)},
                          {"message", core::MessageOf(status)}};
  http::Headers headers = {
      {"Content-Type", "application/json"},
      {std::string(http::kResultCodeHeader), std::to_string(code)}};
  if (const auto retry_after = core::RetryAfterOf(status)) {
    AddRetryAfter(*retry_after, &error, &headers);
  }
  details["error"] = std::move(error);
  exchange->Respond(entry.http_status, headers, intent::DumpJson(details));
}

}  // namespace wasabi::control
