#include "LibForwarding/stream_origin_table.h"

namespace wasabi::forwarding {

void StreamOriginTable::Put(StreamKey stream,
                            StreamOrigin origin,
                            core::TimePoint now) {
  if (!origins_.try_emplace(stream.hash, origin).second) {
    return;
  }
  expiries_.push_back({.at = now + lifetime_, .stream = stream.hash});
  if (origins_.size() > max_entries_) {
    RemoveOldest();
  }
}

std::optional<StreamOrigin> StreamOriginTable::Find(StreamKey stream) const {
  const auto it = origins_.find(stream.hash);
  return it == origins_.end() ? std::nullopt : std::optional(it->second);
}

void StreamOriginTable::Expire(core::TimePoint now) {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    RemoveOldest();
  }
}

void StreamOriginTable::RemoveOldest() {
  origins_.erase(expiries_.front().stream);
  expiries_.pop_front();
}

}  // namespace wasabi::forwarding
