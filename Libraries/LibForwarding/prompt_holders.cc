#include "LibForwarding/prompt_holders.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

// An endpoint may have evicted parts from its cache that were unused for
// longer.
constexpr core::Duration kCacheLifetime = core::seconds(30);
// More holders of one prompt are of no use, because any of them can be copied
// from.
constexpr size_t kMaxHolders = 3;
constexpr size_t kMaxPrompts = 8192;

}  // namespace

void PromptHolders::RecordServed(uint64_t prompt,
                                 const core::RunnerId& endpoint,
                                 core::TimePoint now) {
  if (prompts_.size() >= kMaxPrompts) {
    EvictExpired(now);
  }
  HolderList& holders = prompts_[prompt];
  std::erase_if(holders, [&endpoint](const Holder& it) {
    return it.endpoint == endpoint;
  });
  holders.insert(holders.begin(), {.endpoint = endpoint, .served_at = now});
  holders.resize(std::min(holders.size(), kMaxHolders));
}

void PromptHolders::ForgetEndpoint(const core::RunnerId& endpoint) {
  for (auto& [prompt, holders] : prompts_) {
    std::erase_if(holders, [&endpoint](const Holder& it) {
      return it.endpoint == endpoint;
    });
  }
}

std::vector<core::RunnerId> PromptHolders::Of(uint64_t prompt,
                                              core::TimePoint now) const {
  std::vector<core::RunnerId> endpoints;
  const auto found = prompts_.find(prompt);
  if (found == prompts_.end()) {
    return endpoints;
  }
  for (const Holder& it : found->second) {
    if (now - it.served_at < kCacheLifetime) {
      endpoints.push_back(it.endpoint);
    }
  }
  return endpoints;
}

void PromptHolders::EvictExpired(core::TimePoint now) {
  absl::erase_if(prompts_, [now](const auto& it) {
    return it.second.empty() ||
           now - it.second.front().served_at >= kCacheLifetime;
  });
  // If all entries are recent, the rendezvous order of the fleet is used
  // instead.
  if (prompts_.size() >= kMaxPrompts) {
    prompts_.clear();
  }
}

}  // namespace wasabi::forwarding
