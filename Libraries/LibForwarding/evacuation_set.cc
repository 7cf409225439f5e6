#include "LibForwarding/evacuation_set.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

// Every record of a new history is newer than what was retained from the one
// before it.
constexpr platform::Offset kBeforeAllRecords = -1;

}  // namespace

EvacuationSet::Changes EvacuationSet::Replace(
    const std::vector<EvacuationRecord>& records,
    platform::Offset next,
    bool may_lack_records,
    core::TimePoint now) {
  Changes changes;
  std::set<core::DataCentreId> present;
  for (const EvacuationRecord& it : records) {
    present.insert(it.data_centre);
    if (may_lack_records) {
      // Offsets of two histories can't be compared.
      const bool is_new = evacuated_.erase(it.data_centre) == 0;
      evacuated_[it.data_centre] = {.offset = it.offset};
      if (is_new) {
        changes.push_back({it.data_centre, EvacuationChangeKind::kBegan});
      }
      continue;
    }
    const Changes put = Put(it);
    changes.insert(changes.end(), put.begin(), put.end());
  }
  for (auto it = evacuated_.begin(); it != evacuated_.end();) {
    auto& [data_centre, state] = *it;
    // The snapshot says nothing about records at or after its end.
    const bool is_in_force =
        present.contains(data_centre) ||
        (!may_lack_records && (state.retained_until || state.offset >= next));
    if (is_in_force) {
      ++it;
    } else if (may_lack_records) {
      state = {.offset = kBeforeAllRecords,
               .retained_until = now + kRestoredEvacuationLifetime};
      changes.push_back({data_centre, EvacuationChangeKind::kRetained});
      ++it;
    } else {
      changes.push_back({data_centre, EvacuationChangeKind::kEnded});
      it = evacuated_.erase(it);
    }
  }
  return changes;
}

EvacuationSet::Changes EvacuationSet::Put(const EvacuationRecord& record) {
  const auto [it, is_new] = evacuated_.try_emplace(record.data_centre);
  if (is_new || record.offset >= it->second.offset) {
    it->second = {.offset = record.offset};
  }
  return is_new ? Changes{{record.data_centre, EvacuationChangeKind::kBegan}}
                : Changes{};
}

EvacuationSet::Changes EvacuationSet::Drop(const EvacuationRecord& record) {
  const auto it = evacuated_.find(record.data_centre);
  if (it == evacuated_.end() || record.offset < it->second.offset) {
    return {};
  }
  evacuated_.erase(it);
  return {{record.data_centre, EvacuationChangeKind::kEnded}};
}

EvacuationSet::Changes EvacuationSet::Expire(core::TimePoint now) {
  Changes changes;
  std::erase_if(evacuated_, [&](const auto& it) {
    const bool is_over =
        it.second.retained_until && now >= *it.second.retained_until;
    if (is_over) {
      changes.push_back({it.first, EvacuationChangeKind::kEnded});
    }
    return is_over;
  });
  return changes;
}

std::set<core::DataCentreId> EvacuationSet::data_centres() const {
  std::set<core::DataCentreId> data_centres;
  for (const auto& [data_centre, state] : evacuated_) {
    data_centres.insert(data_centre);
  }
  return data_centres;
}

}  // namespace wasabi::forwarding
