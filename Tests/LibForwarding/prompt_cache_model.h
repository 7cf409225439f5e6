// A model of the shared prompt parts that the endpoints of a pool have cached,
// and of the copies between them, in virtual time.

#ifndef TESTS_LIBFORWARDING_PROMPT_CACHE_MODEL_H_
#define TESTS_LIBFORWARDING_PROMPT_CACHE_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "LibCore/time.h"

namespace wasabi::forwarding {

class PromptCacheModel {
 public:
  // What a request costs beside its own tokens.
  struct Use {
    uint32_t copied_tokens = 0;
    uint32_t prefilled_tokens = 0;
    // When the part has been copied.
    core::TimePoint ready_at;
  };

  explicit PromptCacheModel(size_t endpoints) : endpoints_(endpoints) {}

  // Makes a part of `tokens` available at an endpoint: it is used if it is
  // cached, copied if another endpoint has it, and prefilled otherwise.
  Use UseAt(size_t endpoint,
            uint64_t part,
            uint32_t tokens,
            core::TimePoint now);

 private:
  struct Entry {
    uint32_t tokens = 0;
    core::TimePoint used_at;
    core::TimePoint ready_at;
  };

  struct Endpoint {
    std::map<uint64_t, Entry> parts;
    uint64_t tokens = 0;
    // Copies to the endpoint follow each other on its link.
    core::TimePoint link_free_at;
  };

  bool IsCachedElsewhere(size_t endpoint, uint64_t part) const;
  static void EvictLeastRecent(Endpoint& endpoint);

  std::vector<Endpoint> endpoints_;
};

}  // namespace wasabi::forwarding

#endif  // TESTS_LIBFORWARDING_PROMPT_CACHE_MODEL_H_
