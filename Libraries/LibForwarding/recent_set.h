// A bounded set of ids that were added a short time ago. An id is forgotten
// between one and two lifetimes after it was last added.

#ifndef LIBFORWARDING_RECENT_SET_H_
#define LIBFORWARDING_RECENT_SET_H_

#include <cstddef>
#include <cstdint>
#include <utility>

#include "LibCore/time.h"
#include "absl/container/flat_hash_set.h"

namespace wasabi::forwarding {

class RecentSet {
 public:
  // Keeps at most two times `max_ids`.
  RecentSet(core::Duration lifetime, size_t max_ids)
      : lifetime_(lifetime), max_ids_(max_ids) {}

  void Add(uint64_t id, core::TimePoint now) {
    if (now >= next_turn_at_ || newer_.size() >= max_ids_) {
      older_ = std::exchange(newer_, {});
      next_turn_at_ = now + lifetime_;
    }
    newer_.insert(id);
  }

  // `now` must not be earlier than in the calls before.
  bool Contains(uint64_t id, core::TimePoint now) const {
    if (now >= next_turn_at_ + lifetime_) {
      return false;
    }
    return newer_.contains(id) || (now < next_turn_at_ && older_.contains(id));
  }

 private:
  const core::Duration lifetime_;
  const size_t max_ids_;
  absl::flat_hash_set<uint64_t> newer_;
  absl::flat_hash_set<uint64_t> older_;
  core::TimePoint next_turn_at_{};
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_RECENT_SET_H_
