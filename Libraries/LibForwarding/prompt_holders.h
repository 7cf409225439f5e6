// Which endpoints are likely to have the shared part of a prompt in their
// cache, from the requests that this host saw served. Pure state.
//
// Load pattern: an endpoint above the load bound, one that has just joined or
// started again, and a hot prompt that spreads send requests to endpoints that
// lack the prompt. Copying it from another endpoint is much cheaper than
// reading it again, which delays all that runs beside it.

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
  // `endpoint` served a request for `prompt`.
  void RecordServed(uint64_t prompt,
                    const core::RunnerId& endpoint,
                    core::TimePoint now);
  // The endpoint is gone or has lost its cache.
  void ForgetEndpoint(const core::RunnerId& endpoint);

  // The endpoints that served the prompt lately, the last one first.
  std::vector<core::RunnerId> Of(uint64_t prompt, core::TimePoint now) const;

 private:
  struct Holder {
    core::RunnerId endpoint;
    core::TimePoint served_at;
  };
  using HolderList = std::vector<Holder>;

  void ForgetOld(core::TimePoint now);

  absl::flat_hash_map<uint64_t, HolderList> prompts_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PROMPT_HOLDERS_H_
