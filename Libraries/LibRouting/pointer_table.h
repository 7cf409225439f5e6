// Where displaced chats are warm. The owner of a chat's first choice keeps an
// entry only for a chat that ran elsewhere, so the table stays small.

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
  // Entries expire `lifetime` after their last use; beyond `capacity` the
  // least recently used one is dropped.
  PointerTable(core::Duration lifetime, size_t capacity);

  void SetLimits(core::Duration lifetime, size_t capacity);

  // Points `chat` to `target`, in place of an earlier target.
  void Set(const core::ChatKey& chat,
           const core::RunnerId& target,
           core::TimePoint now);

  // The runner where `chat` is warm; renews the entry.
  std::optional<core::RunnerId> Use(const core::ChatKey& chat,
                                    core::TimePoint now);

  // Drops the entry of `chat`.
  void Erase(const core::ChatKey& chat);

  // Drops all entries that lead to `target`.
  void EraseTarget(const core::RunnerId& target);

  // Drops the entries that expired.
  void Expire(core::TimePoint now);

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    // The chat's stable hash: the entry of a colliding chat would only cost a
    // cold prefill.
    uint64_t chat_hash = 0;
    core::RunnerId target;
    core::TimePoint expiry;
  };
  using EntryList = std::list<Entry>;

  void EraseOldest();

  core::Duration lifetime_;
  size_t capacity_;
  // Ordered by last use, the oldest first; expiry grows in the same order.
  EntryList entries_;
  absl::flat_hash_map<uint64_t, EntryList::iterator> index_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_POINTER_TABLE_H_
