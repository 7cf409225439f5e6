// The JSON form of the platform's host list; docs/PROTOCOLS.md shows it.

#ifndef LIBPLATFORM_HOST_LIST_JSON_H_
#define LIBPLATFORM_HOST_LIST_JSON_H_

#include <string>
#include <string_view>

#include "LibPlatform/host_list_client.h"
#include "absl/status/statusor.h"

namespace wasabi::platform {

// One row as a JSON object.
std::string HostToJson(const ListedHost& host);

// The row in `text`; ResultCode::kMalformedRequest when a field is missing or
// has a value that the list doesn't know.
absl::StatusOr<ListedHost> HostFromJson(std::string_view text);

// A whole list as a JSON object.
std::string HostListToJson(const HostList& list);

// The list in `text`; ResultCode::kMalformedRequest when it is not one. Rows
// that can't be parsed are left out, so that one bad row hides no others.
absl::StatusOr<HostList> HostListFromJson(std::string_view text);

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_HOST_LIST_JSON_H_
