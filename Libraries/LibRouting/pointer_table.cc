#include "LibRouting/pointer_table.h"

namespace wasabi::routing {

PointerTable::PointerTable(core::Duration lifetime, size_t capacity)
    : lifetime_(lifetime), capacity_(capacity) {}

void PointerTable::SetLimits(core::Duration lifetime, size_t capacity) {
  lifetime_ = lifetime;
  capacity_ = capacity;
  while (entries_.size() > capacity_) {
    EraseOldest();
  }
}

void PointerTable::Set(const core::ChatKey& chat,
                       const core::RunnerId& target,
                       core::TimePoint now) {
  Expire(now);
  Erase(chat);
  if (capacity_ == 0) {
    return;
  }
  if (entries_.size() == capacity_) {
    EraseOldest();
  }
  const uint64_t chat_hash = chat.Hash();
  entries_.push_back({chat_hash, target, now + lifetime_});
  index_[chat_hash] = std::prev(entries_.end());
}

std::optional<core::RunnerId> PointerTable::FindAndRenew(
    const core::ChatKey& chat,
    core::TimePoint now) {
  Expire(now);
  const auto it = index_.find(chat.Hash());
  if (it == index_.end()) {
    return std::nullopt;
  }
  Entry& entry = *it->second;
  entry.expiry = now + lifetime_;
  entries_.splice(entries_.end(), entries_, it->second);
  return entry.target;
}

void PointerTable::Erase(const core::ChatKey& chat) {
  const auto it = index_.find(chat.Hash());
  if (it == index_.end()) {
    return;
  }
  entries_.erase(it->second);
  index_.erase(it);
}

void PointerTable::EraseTarget(const core::RunnerId& target) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->target != target) {
      ++it;
      continue;
    }
    index_.erase(it->chat_hash);
    it = entries_.erase(it);
  }
}

void PointerTable::Expire(core::TimePoint now) {
  while (!entries_.empty() && entries_.front().expiry <= now) {
    EraseOldest();
  }
}

void PointerTable::EraseOldest() {
  index_.erase(entries_.front().chat_hash);
  entries_.pop_front();
}

}  // namespace wasabi::routing
