#include "Tests/LibForwarding/prompt_cache_model.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

// Half of the memory of an engine; its running requests have the other half.
constexpr uint64_t kCacheTokens = 202'779;
// 10,500 tokens take 37 ms of a link.
constexpr double kCopySecondsPerToken = 0.037 / 10'500;

}  // namespace

PromptCacheModel::Use PromptCacheModel::UseAt(size_t endpoint,
                                              uint64_t part,
                                              uint32_t tokens,
                                              core::TimePoint now) {
  Endpoint& at = endpoints_[endpoint];
  const auto found = at.parts.find(part);
  if (found != at.parts.end()) {
    found->second.used_at = now;
    return {.ready_at = std::max(now, found->second.ready_at)};
  }
  Use use{.ready_at = now};
  if (IsCachedElsewhere(endpoint, part)) {
    use.copied_tokens = tokens;
    at.link_free_at = std::max(now, at.link_free_at) +
                      core::FromSeconds(tokens * kCopySecondsPerToken);
    use.ready_at = at.link_free_at;
  } else {
    use.prefilled_tokens = tokens;
  }
  at.parts[part] = {.tokens = tokens, .used_at = now, .ready_at = use.ready_at};
  at.tokens += tokens;
  while (at.tokens > kCacheTokens) {
    EvictLeastRecent(at);
  }
  return use;
}

bool PromptCacheModel::IsCachedElsewhere(size_t endpoint, uint64_t part) const {
  for (size_t i = 0; i < endpoints_.size(); ++i) {
    if (i != endpoint && endpoints_[i].parts.contains(part)) {
      return true;
    }
  }
  return false;
}

void PromptCacheModel::EvictLeastRecent(Endpoint& endpoint) {
  const auto oldest =
      std::min_element(endpoint.parts.begin(), endpoint.parts.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.used_at < b.second.used_at;
                       });
  endpoint.tokens -= oldest->second.tokens;
  endpoint.parts.erase(oldest);
}

}  // namespace wasabi::forwarding
