#include "LibForwarding/cold_endpoints.h"

#include <algorithm>
#include <utility>

namespace wasabi::forwarding {

namespace {

// Entries of endpoints that are no longer registered are kept up to this
// number.
constexpr size_t kMaxEntries = 10'000;
// Registrations are repeated every second or so and read after different times.
// A cold time that ends no later than this after the known end is no news.
constexpr core::Duration kMinExtension = core::milliseconds(500);

}  // namespace

void ColdEndpoints::SetPools(RouteTableView table, core::TimePoint now) {
  table_ = std::move(table);
  for (auto& [id, entry] : entries_) {
    Update(id, entry, now);
  }
}

bool ColdEndpoints::RecordRegistration(const Registration& registration,
                                       bool is_first_snapshot,
                                       core::TimePoint now) {
  const Endpoint& endpoint = registration.endpoint;
  const auto [it, is_new] = entries_.try_emplace(endpoint.id);
  Entry& entry = it->second;
  const bool has_restarted =
      !is_new && endpoint.started_at_ms > entry.started_at_ms;
  if (!is_first_snapshot && (is_new || has_restarted)) {
    entry.noticed_start = now;
  }
  entry.pool = endpoint.pool;
  entry.started_at_ms = std::max(entry.started_at_ms, endpoint.started_at_ms);
  if (registration.cold_left > core::Duration::zero()) {
    entry.stated_until =
        std::max(entry.stated_until, now + registration.cold_left);
  }
  const bool is_news = Update(endpoint.id, entry, now);
  Prune();
  return is_news;
}

void ColdEndpoints::RecordAnswer(const Endpoint& endpoint,
                                 core::Duration left,
                                 core::TimePoint now) {
  const auto it = entries_.find(endpoint.id);
  if (it == entries_.end() || left <= core::Duration::zero()) {
    return;
  }
  it->second.stated_until = std::max(it->second.stated_until, now + left);
  Update(it->first, it->second, now);
}

size_t ColdEndpoints::MarkCold(const core::DataCentreId& data_centre,
                               core::TimePoint now) {
  size_t marked = 0;
  for (const auto& [id, endpoint] : endpoints_->all()) {
    const auto it = entries_.find(id);
    if (endpoint.data_centre != data_centre || it == entries_.end() ||
        ColdPool(endpoint.pool) == nullptr) {
      continue;
    }
    it->second.noticed_start = now;
    Update(id, it->second, now);
    ++marked;
  }
  return marked;
}

const Pool* ColdEndpoints::ColdPool(const core::PoolId& pool) const {
  const Pool* found = table_ == nullptr ? nullptr : table_->FindPool(pool);
  return found != nullptr && found->MayBeCold() ? found : nullptr;
}

bool ColdEndpoints::Update(const core::RunnerId& id,
                           Entry& entry,
                           core::TimePoint now) {
  const Pool* pool = ColdPool(entry.pool);
  if (pool == nullptr) {
    return false;
  }
  core::TimePoint until = entry.stated_until;
  if (entry.noticed_start != core::TimePoint()) {
    until = std::max(until, entry.noticed_start + pool->warm_up);
  }
  if (until <= now) {
    return false;
  }
  if (sink_) {
    sink_(id, pool->cold_per_second, until - now, now);
  }
  if (until <= entry.reported_until + kMinExtension) {
    return false;
  }
  entry.reported_until = until;
  return true;
}

void ColdEndpoints::Prune() {
  if (entries_.size() < kMaxEntries) {
    return;
  }
  std::erase_if(entries_, [this](const auto& it) {
    return endpoints_->Find(it.first) == nullptr;
  });
}

}  // namespace wasabi::forwarding
