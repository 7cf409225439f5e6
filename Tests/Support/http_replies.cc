#include "Tests/Support/http_replies.h"

#include <string>

namespace wasabi::support {

void RespondJson(const std::shared_ptr<http::Exchange>& exchange,
                 int http_status,
                 const nlohmann::json& body) {
  exchange->Respond(http_status, {{"Content-Type", "application/json"}},
                    body.dump());
}

void RespondError(const std::shared_ptr<http::Exchange>& exchange,
                  int http_status,
                  core::ResultCode code,
                  std::string_view message) {
  const int number = static_cast<int>(code);
  const nlohmann::json error = {{"code", number},
                                {"name", core::Describe(code).name},
                                {"message", message}};
  exchange->Respond(
      http_status,
      {{"Content-Type", "application/json"},
       {std::string(http::kResultCodeHeader), std::to_string(number)}},
      nlohmann::json({{"error", error}}).dump());
}

nlohmann::json ParseObject(std::string_view text) {
  nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  return json.is_object() ? json : nlohmann::json();
}

}  // namespace wasabi::support
