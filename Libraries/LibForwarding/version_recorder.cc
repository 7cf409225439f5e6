#include "LibForwarding/version_recorder.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

// Endpoints of a release register within moments of each other. A version that
// is gone before it was recorded could be forgotten, so the delay is short.
constexpr core::Duration kDelay = core::milliseconds(200);
constexpr core::Duration kDelayPerRank = core::milliseconds(1200);
constexpr size_t kRanks = 3;
constexpr core::Duration kRetryAfter = core::milliseconds(500);

// What a record lacks or has too much.
enum class RecordState : uint8_t { kCurrent, kHasExtra, kLacksOrigin };

RecordState Compare(const PoolOrigins& recent, const VersionRecord& record) {
  const auto known =
      std::find_if(record.pools.begin(), record.pools.end(),
                   [&](const auto& it) { return it.pool == recent.pool; });
  if (known == record.pools.end() ||
      !std::includes(known->origins.begin(), known->origins.end(),
                     recent.origins.begin(), recent.origins.end())) {
    return RecordState::kLacksOrigin;
  }
  return known->origins.size() > recent.origins.size() ? RecordState::kHasExtra
                                                       : RecordState::kCurrent;
}

// A pool that has no endpoint any more may keep its origins: they only make
// resumptions rarer, and a write would save nothing.
RecordState Compare(const std::vector<PoolOrigins>& recent,
                    const VersionRecord& record,
                    int64_t epoch) {
  if (record.epoch != epoch) {
    return RecordState::kLacksOrigin;
  }
  RecordState state = RecordState::kCurrent;
  for (const PoolOrigins& it : recent) {
    state = std::max(state, Compare(it, record));
  }
  return state;
}

}  // namespace

VersionAction VersionRecorder::Decide(std::optional<size_t> rank,
                                      const std::optional<VersionRecord>& known,
                                      const OriginHistory& history,
                                      int64_t epoch,
                                      core::TimePoint now) {
  if (!rank || *rank >= kRanks || !history.IsComplete(now)) {
    return VersionAction::kNone;
  }
  const std::vector<PoolOrigins> recent = history.Recent({}, now);
  if (recent.empty()) {
    return VersionAction::kNone;
  }
  const RecordState state = Compare(
      recent, known.value_or(VersionRecord{.epoch = epoch, .pools = {}}),
      epoch);
  const bool is_outdated = *rank == 0 ? state != RecordState::kCurrent
                                      : state == RecordState::kLacksOrigin;
  if (!is_outdated) {
    outdated_since_.reset();
    return VersionAction::kNone;
  }
  if (!outdated_since_) {
    outdated_since_ = now;
    is_checked_ = *rank == 0 && known.has_value();
  }
  const core::Duration delay =
      kDelay + kDelayPerRank * static_cast<int64_t>(*rank);
  if (now - *outdated_since_ < delay || now < next_action_at_) {
    return VersionAction::kNone;
  }
  next_action_at_ = now + kRetryAfter;
  return is_checked_ ? VersionAction::kWrite : VersionAction::kRead;
}

VersionRecord VersionRecorder::NewRecord(const OriginHistory& history,
                                         int64_t epoch,
                                         core::TimePoint now) {
  return {.epoch = epoch, .pools = history.Recent({}, now)};
}

}  // namespace wasabi::forwarding
