// Simulates the KV memory of an engine: a prefix cache with one entry per chat
// and LRU eviction, which shares its capacity with the reservations of running
// sequences.

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

// One block of a chat's context, which holds one message. It is identified by
// the hash of all messages up to and including this one.
struct PrefixBlock {
  uint64_t prefix_hash = 0;
  uint32_t tokens = 0;

  auto operator<=>(const PrefixBlock&) const = default;
};

// Returns one block for each of `messages`, in their order.
std::vector<PrefixBlock> PrefixOf(const std::vector<ChatMessage>& messages);

// A change of the cache, as reported by GET /v1/cache-events.
struct CacheEvent {
  uint64_t sequence = 0;
  // True if the chat's context was stored, false if it was evicted.
  bool is_stored = false;
  std::string chat;
  uint32_t tokens = 0;

  auto operator<=>(const CacheEvent&) const = default;
};

class KvCache {
 public:
  // `capacity_tokens` bounds the sum of cached and reserved tokens.
  explicit KvCache(uint64_t capacity_tokens) : capacity_(capacity_tokens) {}

  // Returns the number of tokens in the leading blocks of `prefix` that are
  // cached for `chat`.
  uint32_t CachedTokens(const std::string& chat,
                        const std::vector<PrefixBlock>& prefix) const;

  // Reserves `tokens` for a running sequence of `chat` and pins the chat's
  // entry until Release. Evicts other chats if necessary. Returns false without
  // any change if evicting all unpinned chats would not suffice.
  bool Reserve(const std::string& chat, uint32_t tokens);

  // Reserves `tokens` even beyond the capacity; evicts and pins nothing.
  void ReserveUnchecked(uint32_t tokens) { reserved_ += tokens; }

  // Returns a reservation of `tokens` and unpins the entry of `chat`.
  void Release(const std::string& chat, uint32_t tokens);

  // Replaces the cached context of `chat` with `prefix`. If `prefix` doesn't
  // fit, the chat has no cached context afterwards.
  void Store(const std::string& chat, std::vector<PrefixBlock> prefix);

  // Returns the cached context of `chat`, or nothing if there is none.
  std::vector<PrefixBlock> ContextOf(const std::string& chat) const;

  // Returns the share of the capacity that is neither reserved nor cached, in
  // [0, 1].
  double FreeShare() const;

  // Returns and clears the changes since the last call.
  std::vector<CacheEvent> TakeEvents();

 private:
  struct Entry {
    std::vector<PrefixBlock> prefix;
    uint32_t tokens = 0;
    // Number of running sequences of the chat; the entry is pinned while > 0.
    uint32_t users = 0;
    std::list<std::string>::iterator recency;
  };

  uint64_t UsedTokens() const { return cached_ + reserved_; }
  uint64_t EvictableTokens(const std::string& except) const;
  bool EvictToFit(uint64_t tokens, const std::string& except);
  void Evict(const std::string& chat);
  void RecordEvent(bool is_stored, const std::string& chat, uint32_t tokens);

  const uint64_t capacity_;
  uint64_t cached_ = 0;
  uint64_t reserved_ = 0;
  uint64_t next_sequence_ = 1;
  std::map<std::string, Entry> entries_;
  // Chats, least recently used first.
  std::list<std::string> recency_;
  std::vector<CacheEvent> events_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ENGINE_KV_CACHE_H_
