// Maps displaced chats to the runners whose caches hold their context. The
// owner of a chat's first-choice runner keeps an entry only if the chat ran on
// another runner, so the table stays small.

#ifndef LIBROUTING_POINTER_TABLE_H_
#define LIBROUTING_POINTER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::routing {

class PointerTable {
 public:
  // Entries expire `lifetime` after their last use. When the table exceeds
  // `capacity` entries, the least recently used one is evicted.
  PointerTable(core::Duration lifetime, size_t capacity);

  // Changes the limits. Evicts entries that exceed the new capacity; the new
  // lifetime applies to an entry from its next use.
  void SetLimits(core::Duration lifetime, size_t capacity);

  // Maps `chat` to `target`, replacing an earlier target.
  void Set(const core::ChatKey& chat,
           const core::RunnerId& target,
           core::TimePoint now);

  // Returns the runner whose cache holds the context of `chat` and renews the
  // entry. Returns nullopt if there is no entry or it has expired.
  std::optional<core::RunnerId> FindAndRenew(const core::ChatKey& chat,
                                             core::TimePoint now);

  // Removes the entry of `chat`, if any.
  void Erase(const core::ChatKey& chat);

  // Removes all entries that point to `target`.
  void EraseTarget(const core::RunnerId& target);

  // Removes expired entries.
  void Expire(core::TimePoint now);

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    // Stable hash of the chat key. If two chats collide, the wrong pointer only
    // costs a cold prefill.
    uint64_t chat_hash = 0;
    core::RunnerId target;
    core::TimePoint expiry;
  };
  using EntryList = std::list<Entry>;

  void EraseOldest();

  core::Duration lifetime_;
  size_t capacity_;
  // Ordered by last use, least recently used first, and therefore also by
  // expiry time.
  EntryList entries_;
  absl::flat_hash_map<uint64_t, EntryList::iterator> index_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_POINTER_TABLE_H_
