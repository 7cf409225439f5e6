// A caller's request after it was decoded and its route was found.

#ifndef LIBFORWARDING_FORWARD_REQUEST_H_
#define LIBFORWARDING_FORWARD_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/route_table.h"
#include "LibHttp/headers.h"

namespace wasabi::forwarding {

// A part of a prompt. Requests share parts; an endpoint that has read a part
// after the same parts before it does not read it again.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};

struct ForwardRequest {
  core::RequestId id;
  // Keeps `route` alive.
  RouteTableView table;
  const Route* route = nullptr;
  // Empty where the route needs no key.
  core::OrganisationId organisation;
  int priority = 0;

  // The message to pass on. The fields are those that endpoints may see.
  std::string method;
  std::string target;
  http::Headers headers;
  std::string body;

  core::TimePoint received_at;
  // When the caller stops to wait.
  core::TimePoint deadline;
  // The last event that the caller has, of a stream that it resumes.
  std::optional<uint64_t> resume_after;

  // In order; the last one belongs to this request or its chat alone.
  std::vector<PromptPart> prompt;
  uint32_t max_output_tokens = 0;

  // Hash of what a repetition of this request would have in common.
  uint64_t content_digest = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_FORWARD_REQUEST_H_
