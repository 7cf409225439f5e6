// The KV memory of the stand-in engine: a prefix cache per chat with LRU
// eviction, next to the reservations of running sequences.

#ifndef TESTS_SUPPORT_ENGINE_KV_CACHE_H_
#define TESTS_SUPPORT_ENGINE_KV_CACHE_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "Tests/Support/answer_text.h"

namespace wasabi::support {

// One block of a chat's context: a message, named by the hash of all messages
// up to and including it.
struct PrefixBlock {
  uint64_t prefix_hash = 0;
  uint32_t tokens = 0;

  auto operator<=>(const PrefixBlock&) const = default;
};

// The blocks of `messages` in order.
std::vector<PrefixBlock> PrefixOf(const std::vector<ChatMessage>& messages);

// A change of the cache, as reported at GET /v1/cache-events.
struct CacheEvent {
  uint64_t sequence = 0;
  // True when the chat's context was stored, false when it was evicted.
  bool is_stored = false;
  std::string chat;
  uint32_t tokens = 0;

  auto operator<=>(const CacheEvent&) const = default;
};

class KvCache {
 public:
  // `capacity_tokens` bounds the cached and the reserved tokens together.
  explicit KvCache(uint64_t capacity_tokens) : capacity_(capacity_tokens) {}

  // Tokens of the longest prefix of `prefix` that is cached for `chat`.
  uint32_t CachedTokens(const std::string& chat,
                        const std::vector<PrefixBlock>& prefix) const;

  // Reserves `tokens` for a running sequence of `chat` and protects the chat's
  // entry until Release. Evicts other chats where that makes room; returns
  // false, with nothing changed, where it can't.
  bool Reserve(const std::string& chat, uint32_t tokens);

  // As Reserve without a check of the capacity.
  void ReserveAnyway(uint32_t tokens) { reserved_ += tokens; }

  // Gives back a reservation.
  void Release(const std::string& chat, uint32_t tokens);

  // Stores `prefix` as the context of `chat` in place of the earlier one.
  // A chat that doesn't fit is not stored.
  void Store(const std::string& chat, std::vector<PrefixBlock> prefix);

  // The stored context of `chat`; empty where there is none.
  std::vector<PrefixBlock> ContextOf(const std::string& chat) const;

  // The part of the capacity that is neither reserved nor cached, in [0, 1].
  double FreeShare() const;

  // The changes since the last call.
  std::vector<CacheEvent> TakeEvents();

 private:
  struct Entry {
    std::vector<PrefixBlock> prefix;
    uint32_t tokens = 0;
    // Running sequences of the chat.
    uint32_t users = 0;
    std::list<std::string>::iterator recency;
  };

  uint64_t UsedTokens() const { return cached_ + reserved_; }
  uint64_t EvictableTokens(const std::string& except) const;
  bool MakeRoom(uint64_t tokens, const std::string& except);
  void Evict(const std::string& chat);
  void Note(bool is_stored, const std::string& chat, uint32_t tokens);

  const uint64_t capacity_;
  uint64_t cached_ = 0;
  uint64_t reserved_ = 0;
  uint64_t next_sequence_ = 1;
  std::map<std::string, Entry> entries_;
  // Chats from the least to the most recently used.
  std::list<std::string> recency_;
  std::vector<CacheEvent> events_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ENGINE_KV_CACHE_H_
