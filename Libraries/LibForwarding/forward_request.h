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

// A part of a prompt. Requests can share parts. An endpoint that has processed
// a part after the same preceding parts does not have to process it again.
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
  // Empty if the route requires no API key.
  core::OrganisationId organisation;
  int priority = 0;

  // The message to forward. `headers` holds only the fields that endpoints may
  // see.
  std::string method;
  std::string target;
  http::Headers headers;
  std::string body;

  core::TimePoint received_at;
  // Time at which the caller stops waiting.
  core::TimePoint deadline;
  // Id of the last event that the caller received, if it resumes a stream.
  std::optional<uint64_t> resume_after;
  // Id of the caller's attempt that brought the first event of the stream that
  // it resumes, if the caller named it.
  std::optional<core::RequestId> first_attempt;

  // Parts in order. The last one is specific to this request or its chat.
  std::vector<PromptPart> prompt;
  uint32_t max_output_tokens = 0;
  // The caller's estimate of the output; nullopt if it has none.
  std::optional<uint32_t> expected_output_tokens;

  // Hash of the content that repetitions of this request have in common.
  uint64_t content_digest = 0;

  // Returns when the answer is due: shortly before the caller stops waiting, or
  // at the time limit of the route.
  core::TimePoint AnswerDue() const;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_FORWARD_REQUEST_H_
