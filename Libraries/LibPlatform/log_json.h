// The JSON form of the log service's answers; docs/PROTOCOLS.md shows it.

#ifndef LIBPLATFORM_LOG_JSON_H_
#define LIBPLATFORM_LOG_JSON_H_

#include <string>
#include <string_view>

#include "LibPlatform/log_client.h"
#include "absl/status/statusor.h"

namespace wasabi::platform {

// `page` as a JSON object. Bodies must be valid UTF-8.
std::string LogPageToJson(const LogPage& page);

// The kept range of `page` as a JSON object, without records.
std::string LogBoundsToJson(const LogPage& page);

// The page in `text`, with or without records; ResultCode::kMalformedRequest
// when it is not one, or when its offsets have gaps.
absl::StatusOr<LogPage> LogPageFromJson(std::string_view text);

// The offset in the answer to an append; ResultCode::kMalformedRequest when
// `text` holds none.
absl::StatusOr<Offset> AppendedOffsetFromJson(std::string_view text);

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_LOG_JSON_H_
