// Sends and parses the JSON bodies that all stand-ins use.

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

// Responds with `body` as JSON.
void RespondJson(const std::shared_ptr<http::Exchange>& exchange,
                 int http_status,
                 const nlohmann::json& body);

// Responds with the error body that docs/PROTOCOLS.md specifies and the result
// code header.
void RespondError(const std::shared_ptr<http::Exchange>& exchange,
                  int http_status,
                  core::ResultCode code,
                  std::string_view message);

// Returns the JSON object in `text`, or a null value if it is not an object.
nlohmann::json ParseObject(std::string_view text);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_HTTP_REPLIES_H_
