// Tells which request an answer says that it belongs to.

#ifndef SERVICES_ROUTER_ANSWER_OWNER_H_
#define SERVICES_ROUTER_ANSWER_OWNER_H_

#include <algorithm>
#include <string_view>

#include "LibCore/text.h"
#include "LibHttp/headers.h"

namespace wasabi::router {

// Returns whether an answer with `headers` names another request than
// `request_id`, or another attempt than `attempt`. One that names none belongs
// to the request that was sent on its connection.
inline bool NamesOtherCall(const http::Headers& headers,
                           std::string_view request_id,
                           std::string_view attempt) {
  const auto differs = [](const http::Headers::Field& field,
                          std::string_view name, std::string_view expected) {
    return core::ToLower(field.first) == core::ToLower(name) &&
           field.second != expected;
  };
  return std::any_of(headers.fields().begin(), headers.fields().end(),
                     [&](const http::Headers::Field& it) {
                       return differs(it, http::kRequestIdHeader, request_id) ||
                              differs(it, http::kAttemptHeader, attempt);
                     });
}

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ANSWER_OWNER_H_
