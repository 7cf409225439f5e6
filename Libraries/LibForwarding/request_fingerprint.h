// What identifies a request when it is in flight at an endpoint that crashes:
// its whole content, which a caller may repeat, and the prompt parts that it
// shares with other requests.

#ifndef LIBFORWARDING_REQUEST_FINGERPRINT_H_
#define LIBFORWARDING_REQUEST_FINGERPRINT_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <vector>

#include "LibForwarding/forward_request.h"

namespace wasabi::forwarding {

struct RequestFingerprint {
  // Hash of the content that repetitions of the request have in common.
  uint64_t content = 0;
  // Ids of the shared prompt parts, sorted and without repetitions.
  std::vector<uint64_t> parts;

  auto operator<=>(const RequestFingerprint&) const = default;
};

// Returns the fingerprint of `request`. The last part of its prompt is left
// out, since it is specific to the request or its chat.
inline RequestFingerprint FingerprintOf(const ForwardRequest& request) {
  // Bounds the memory that a request with an endless list of parts takes.
  constexpr size_t kMaxParts = 64;
  RequestFingerprint fingerprint{.content = request.content_digest,
                                 .parts = {}};
  const size_t shared = request.prompt.empty() ? 0 : request.prompt.size() - 1;
  for (size_t i = 0; i < std::min(shared, kMaxParts); ++i) {
    fingerprint.parts.push_back(request.prompt[i].id);
  }
  std::vector<uint64_t>& parts = fingerprint.parts;
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return fingerprint;
}

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_REQUEST_FINGERPRINT_H_
