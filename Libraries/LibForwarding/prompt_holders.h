// Tracks which endpoints are likely to have the shared part of a prompt cached,
// from the requests that this host saw served. Performs no I/O; the caller
// passes in the time.
//
// Load pattern: requests reach endpoints that lack the prompt when its endpoint
// is above the load bound, when an endpoint has just joined or restarted, and
// when a hot prompt is spread. Copying the prompt from another endpoint is much
// cheaper than processing it again, which delays all requests that run at the
// same time.

#ifndef LIBFORWARDING_PROMPT_HOLDERS_H_
#define LIBFORWARDING_PROMPT_HOLDERS_H_

#include <cstdint>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class PromptHolders {
 public:
  // Records that `endpoint` served a request for `prompt`.
  void RecordServed(uint64_t prompt,
                    const core::RunnerId& endpoint,
                    core::TimePoint now);
  // Discards an endpoint that was removed or has lost its cache.
  void ForgetEndpoint(const core::RunnerId& endpoint);

  // Returns the endpoints that served the prompt recently, the latest first.
  std::vector<core::RunnerId> Of(uint64_t prompt, core::TimePoint now) const;

 private:
  struct Holder {
    core::RunnerId endpoint;
    core::TimePoint served_at;
  };
  using HolderList = std::vector<Holder>;

  void EvictExpired(core::TimePoint now);

  absl::flat_hash_map<uint64_t, HolderList> prompts_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PROMPT_HOLDERS_H_
