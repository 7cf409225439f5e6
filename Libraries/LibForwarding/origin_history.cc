#include "LibForwarding/origin_history.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

// A host that is paused, or cut off from the platform and from all other hosts,
// for longer than this may miss a version. Views are up to 3.5 s old on an
// ordinary day of a large fleet.
constexpr core::Duration kMaxGap = core::seconds(8);

}  // namespace

void OriginHistory::Observe(const EndpointTable& endpoints,
                            core::Duration view_age,
                            core::TimePoint now) {
  if (observed_since_ && now - observed_at_ > kMaxGap) {
    is_complete_ = false;
    complete_pools_.clear();
    observed_since_.reset();
  }
  for (const auto& [id, endpoint] : endpoints.all()) {
    Record(endpoint.pool.Hash(), OriginOf(endpoint), now);
  }
  if (view_age > kMaxGap) {
    return;
  }
  observed_at_ = now;
  known_until_ = now - view_age;
  if (!observed_since_) {
    observed_since_ = now;
    known_from_ = known_until_;
  }
  for (auto& [pool, origins] : seen_at_) {
    std::erase_if(origins, [now](const auto& it) {
      return now - it.second >= kStreamLifetime;
    });
  }
}

void OriginHistory::RecordStream(const Endpoint& endpoint,
                                 core::TimePoint now) {
  Record(endpoint.pool.Hash(), OriginOf(endpoint), now);
}

void OriginHistory::Record(uint64_t pool,
                           StreamOrigin origin,
                           core::TimePoint now) {
  seen_at_[pool][origin] = now;
}

void OriginHistory::AddPast(const std::vector<PoolOrigins>& pools,
                            bool is_complete,
                            core::TimePoint now) {
  for (const PoolOrigins& it : pools) {
    for (const uint64_t origin : it.origins) {
      Record(it.pool, {origin}, now);
    }
    if (is_complete) {
      complete_pools_.insert(it.pool);
    }
  }
}

bool OriginHistory::IsComplete(core::TimePoint now) const {
  return is_complete_ ||
         (observed_since_ && now - *observed_since_ >= kStreamLifetime);
}

bool OriginHistory::IsComplete(uint64_t pool, core::TimePoint now) const {
  return IsComplete(now) || complete_pools_.contains(pool);
}

std::vector<PoolOrigins> OriginHistory::Recent(
    const std::vector<uint64_t>& pools,
    core::TimePoint now) const {
  std::vector<PoolOrigins> recent;
  const auto add = [&](uint64_t pool) {
    PoolOrigins entry{.pool = pool, .origins = {}};
    const auto seen = seen_at_.find(pool);
    if (seen != seen_at_.end()) {
      for (const auto& [origin, at] : seen->second) {
        if (now - at < kStreamLifetime) {
          entry.origins.push_back(origin.hash);
        }
      }
    }
    if (!pools.empty() || !entry.origins.empty()) {
      recent.push_back(std::move(entry));
    }
  };
  if (pools.empty()) {
    for (const auto& [pool, origins] : seen_at_) {
      add(pool);
    }
  } else {
    std::for_each(pools.begin(), pools.end(), add);
  }
  return recent;
}

bool OriginHistory::HasSeveral(uint64_t pool, core::TimePoint now) const {
  return Recent({pool}, now).front().origins.size() > 1;
}

std::optional<StreamOrigin> OriginHistory::OnlyOrigin(
    const std::vector<WeightedPool>& pools,
    core::TimePoint now) const {
  std::set<uint64_t> origins;
  for (const WeightedPool& it : pools) {
    const uint64_t pool = it.pool.Hash();
    if (!IsComplete(pool, now)) {
      return std::nullopt;
    }
    const PoolOrigins recent = Recent({pool}, now).front();
    origins.insert(recent.origins.begin(), recent.origins.end());
  }
  return origins.size() == 1 ? std::optional(StreamOrigin{*origins.begin()})
                             : std::nullopt;
}

}  // namespace wasabi::forwarding
