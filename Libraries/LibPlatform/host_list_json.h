// JSON encoding of the platform's host list, documented in docs/PROTOCOLS.md.

#ifndef LIBPLATFORM_HOST_LIST_JSON_H_
#define LIBPLATFORM_HOST_LIST_JSON_H_

#include <string>
#include <string_view>

#include "LibPlatform/host_list_client.h"
#include "absl/status/statusor.h"

namespace wasabi::platform {

// Returns one row as a JSON object.
std::string HostToJson(const ListedHost& host);

// Parses one row. Error: ResultCode::kMalformedRequest when a field is missing
// or has an unknown value.
absl::StatusOr<ListedHost> HostFromJson(std::string_view text);

// Returns a whole list as a JSON object.
std::string HostListToJson(const HostList& list);

// Parses a whole list. Error: ResultCode::kMalformedRequest when `text` is not
// one. Invalid rows are skipped, so that one of them does not hide the other
// hosts.
absl::StatusOr<HostList> HostListFromJson(std::string_view text);

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_HOST_LIST_JSON_H_
