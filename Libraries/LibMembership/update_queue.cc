#include "LibMembership/update_queue.h"

#include <algorithm>
#include <cmath>

namespace wasabi::membership {

namespace {

// Transmissions of one update by one member, as a multiple of the binary
// logarithm of the number of members.
constexpr double kTransmissionsPerDoubling = 1.5;
// Some transmissions are piggybacked on probes and acks, which may reach the
// same receiver repeatedly. Small fleets therefore need more transmissions than
// the logarithm yields.
constexpr int kMinTransmissions = 10;

int TransmissionLimit(size_t members) {
  const double doublings = std::log2(static_cast<double>(members) + 1);
  return std::max(
      kMinTransmissions,
      static_cast<int>(std::ceil(kTransmissionsPerDoubling * doublings)));
}

}  // namespace

void UpdateQueue::Add(uint64_t id_hash, bool with_record) {
  const auto it = std::find_if(
      pending_.begin(), pending_.end(),
      [id_hash](const Pending& pending) { return pending.id_hash == id_hash; });
  if (it == pending_.end()) {
    pending_.push_back({id_hash, with_record, 0});
    return;
  }
  it->with_record = it->with_record || with_record;
  it->transmissions = 0;
}

void UpdateQueue::Fill(const MemberDirectory& directory,
                       size_t byte_budget,
                       Updates* updates) {
  const int limit = TransmissionLimit(directory.present().size());
  std::stable_sort(pending_.begin(), pending_.end(),
                   [](const Pending& a, const Pending& b) {
                     return a.transmissions < b.transmissions;
                   });
  size_t used = 0;
  for (Pending& it : pending_) {
    const Member* member = directory.Find(it.id_hash);
    if (member == nullptr) {
      it.transmissions = limit;
      continue;
    }
    const MemberStatus status = StatusOf(*member);
    const size_t bytes = it.with_record ? core::Encode(*member).size()
                                        : core::Encode(status).size();
    if (used + bytes > byte_budget) {
      break;
    }
    used += bytes;
    ++it.transmissions;
    if (it.with_record) {
      updates->records.push_back(*member);
    } else {
      updates->statuses.push_back(status);
    }
  }
  std::erase_if(pending_, [limit](const Pending& it) {
    return it.transmissions >= limit;
  });
}

}  // namespace wasabi::membership
