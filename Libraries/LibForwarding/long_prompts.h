// Decides which endpoints of a pool take long uncached prompts.
//
// Load pattern: prompts of 10,500 tokens beside prompts of 830. An engine
// prefills prompts one after the other, a chunk between two decode steps, so
// that a long one delays the first events of all short ones behind it and the
// gaps of all streams beside it. The endpoints that take long prompts are the
// first ones of a rendezvous order that all hosts share, as many as the demand
// needs. Hosts estimate the demand from their own requests; estimates that
// differ only differ by the last endpoints of the order. A prompt whose shared
// part is large stays where that part is cached unless it would have more to
// prefill there than to copy elsewhere. Performs no I/O; the caller passes in
// the time.

#ifndef LIBFORWARDING_LONG_PROMPTS_H_
#define LIBFORWARDING_LONG_PROMPTS_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "LibCore/time.h"
#include "LibForwarding/endpoint_selector.h"

namespace wasabi::forwarding {

// A prompt with at least this many uncached tokens is long: it takes four
// chunks of prefill or more.
inline constexpr uint32_t kLongPromptTokens = 4096;

// Which endpoints a prompt prefers, as far as its size decides it.
enum class PromptPlacement : uint8_t {
  // Those that take no long prompts.
  kShort,
  // Those that take long prompts.
  kLong,
  // The one that has its shared part cached, whichever it takes.
  kAtSharedPart,
};

// Returns the placement of a prompt with `shared_tokens` that the endpoint it
// prefers has cached and that any other has to copy or read, and `own_tokens`
// that every endpoint has to prefill.
PromptPlacement PlacementOf(uint32_t own_tokens, uint32_t shared_tokens);

class LongPromptDemand {
 public:
  // Counts the uncached tokens of a long prompt.
  void Record(uint32_t uncached_tokens, core::TimePoint now);
  // Returns the uncached tokens of long prompts per second on this host.
  double TokensPerSecond(core::TimePoint now) const;

 private:
  double tokens_ = 0;
  core::TimePoint updated_at_{};
};

// Returns how many of `endpoints` endpoints take the long prompts of a fleet
// with this demand. 0 if there are none, or if they need more than half of the
// endpoints: then all endpoints take them.
size_t LongPromptEndpoints(double tokens_per_second, size_t endpoints);

// Marks the candidates that should not serve the request while others can: for
// a long prompt all but the first ones of the shared order, for a short one
// these, and none for a prompt that stays at its shared part. Slow endpoints
// (ApplyPaces) take no part.
void ApplyLongPrompts(double tokens_per_second,
                      PromptPlacement placement,
                      std::span<EndpointCandidate> candidates);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_LONG_PROMPTS_H_
