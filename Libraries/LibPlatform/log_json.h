// JSON encoding of the log service's responses, documented in
// docs/PROTOCOLS.md.

#ifndef LIBPLATFORM_LOG_JSON_H_
#define LIBPLATFORM_LOG_JSON_H_

#include <string>
#include <string_view>

#include "LibPlatform/log_client.h"
#include "absl/status/statusor.h"

namespace wasabi::platform {

// Returns `page` as a JSON object. The bodies must be valid UTF-8.
std::string LogPageToJson(const LogPage& page);

// Returns the retained range of `page` as a JSON object, without records.
std::string LogBoundsToJson(const LogPage& page);

// Parses a page, with or without records. Error: ResultCode::kMalformedRequest
// when `text` is not one, or when its offsets have gaps.
absl::StatusOr<LogPage> LogPageFromJson(std::string_view text);

// Parses the offset in the response to an append. Error:
// ResultCode::kMalformedRequest when `text` has none.
absl::StatusOr<Offset> AppendedOffsetFromJson(std::string_view text);

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_LOG_JSON_H_
