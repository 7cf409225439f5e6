#include "Tests/Support/Engine/kv_cache.h"

#include <algorithm>
#include <utility>

#include "LibCore/hash.h"

namespace wasabi::support {

std::vector<PrefixBlock> PrefixOf(const std::vector<ChatMessage>& messages) {
  std::vector<PrefixBlock> prefix;
  uint64_t hash = 0;
  for (const ChatMessage& message : messages) {
    hash = core::CombineHashes(hash, core::StableHash(message.role));
    hash = core::CombineHashes(hash, core::StableHash(message.content));
    prefix.push_back({hash, TokensOf(message)});
  }
  return prefix;
}

uint32_t KvCache::CachedTokens(const std::string& chat,
                               const std::vector<PrefixBlock>& prefix) const {
  const auto it = entries_.find(chat);
  if (it == entries_.end()) {
    return 0;
  }
  const std::vector<PrefixBlock>& stored = it->second.prefix;
  const size_t n = std::min(stored.size(), prefix.size());
  uint32_t tokens = 0;
  for (size_t i = 0; i < n && stored[i] == prefix[i]; ++i) {
    tokens += prefix[i].tokens;
  }
  return tokens;
}

bool KvCache::Reserve(const std::string& chat, uint32_t tokens) {
  if (!EvictToFit(tokens, chat)) {
    return false;
  }
  reserved_ += tokens;
  if (const auto it = entries_.find(chat); it != entries_.end()) {
    ++it->second.users;
    recency_.splice(recency_.end(), recency_, it->second.recency);
  }
  return true;
}

void KvCache::Release(const std::string& chat, uint32_t tokens) {
  reserved_ -= tokens;
  const auto it = entries_.find(chat);
  if (it != entries_.end() && it->second.users > 0) {
    --it->second.users;
  }
}

void KvCache::Store(const std::string& chat, std::vector<PrefixBlock> prefix) {
  uint32_t tokens = 0;
  for (const PrefixBlock& block : prefix) {
    tokens += block.tokens;
  }
  uint32_t users = 0;
  if (const auto it = entries_.find(chat); it != entries_.end()) {
    users = it->second.users;
    cached_ -= it->second.tokens;
    recency_.erase(it->second.recency);
    entries_.erase(it);
  }
  if (!EvictToFit(tokens, chat)) {
    return;
  }
  recency_.push_back(chat);
  entries_[chat] = {std::move(prefix), tokens, users,
                    std::prev(recency_.end())};
  cached_ += tokens;
  RecordEvent(true, chat, tokens);
}

std::vector<PrefixBlock> KvCache::ContextOf(const std::string& chat) const {
  const auto it = entries_.find(chat);
  return it == entries_.end() ? std::vector<PrefixBlock>() : it->second.prefix;
}

double KvCache::FreeShare() const {
  if (UsedTokens() >= capacity_) {
    return 0;
  }
  return 1.0 -
         static_cast<double>(UsedTokens()) / static_cast<double>(capacity_);
}

std::vector<CacheEvent> KvCache::TakeEvents() {
  return std::exchange(events_, {});
}

uint64_t KvCache::EvictableTokens(const std::string& except) const {
  uint64_t tokens = 0;
  for (const auto& [chat, entry] : entries_) {
    if (chat != except && entry.users == 0) {
      tokens += entry.tokens;
    }
  }
  return tokens;
}

bool KvCache::EvictToFit(uint64_t tokens, const std::string& except) {
  if (UsedTokens() + tokens <= capacity_) {
    return true;
  }
  if (UsedTokens() + tokens - EvictableTokens(except) > capacity_) {
    return false;
  }
  auto it = recency_.begin();
  while (UsedTokens() + tokens > capacity_ && it != recency_.end()) {
    const std::string chat = *it++;
    if (chat != except && entries_.at(chat).users == 0) {
      Evict(chat);
    }
  }
  return true;
}

void KvCache::Evict(const std::string& chat) {
  const auto it = entries_.find(chat);
  cached_ -= it->second.tokens;
  RecordEvent(false, chat, it->second.tokens);
  recency_.erase(it->second.recency);
  entries_.erase(it);
}

void KvCache::RecordEvent(bool is_stored,
                          const std::string& chat,
                          uint32_t tokens) {
  events_.push_back({next_sequence_++, is_stored, chat, tokens});
}

}  // namespace wasabi::support
