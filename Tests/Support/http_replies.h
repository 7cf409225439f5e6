// The JSON replies that all stand-ins give.

#ifndef TESTS_SUPPORT_HTTP_REPLIES_H_
#define TESTS_SUPPORT_HTTP_REPLIES_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "LibCore/result_code.h"
#include "LibHttp/exchange.h"

namespace wasabi::support {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpUnavailable = 503;

// Answers with `body` as JSON.
void RespondJson(const std::shared_ptr<http::Exchange>& exchange,
                 int http_status,
                 const nlohmann::json& body);

// Answers with the error body of docs/PROTOCOLS.md.
void RespondError(const std::shared_ptr<http::Exchange>& exchange,
                  int http_status,
                  core::ResultCode code,
                  std::string_view message);

// The JSON object in the request's body, or a null value.
nlohmann::json ParseObject(std::string_view text);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_HTTP_REPLIES_H_
