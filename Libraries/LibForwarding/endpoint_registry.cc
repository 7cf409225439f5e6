#include "LibForwarding/endpoint_registry.h"

#include <set>
#include <utility>

namespace wasabi::forwarding {

namespace {

// Lifetime of a tombstone. A write whose answer was lost may take effect some
// seconds late.
constexpr core::Duration kTombstoneLifetime = core::seconds(15);

}  // namespace

RegistryOutcome EndpointRegistry::Put(const Registration& registration,
                                      core::TimePoint now) {
  const core::RunnerId& id = registration.endpoint.id;
  const auto it = entries_.find(id);
  bool has_returned = false;
  if (it != entries_.end()) {
    const Entry& entry = it->second;
    const bool is_late = !IsNewer(registration, entry.registration) ||
                         (!entry.is_present && now >= entry.usable_until &&
                          registration == entry.registration);
    if (is_late) {
      return RegistryOutcome::kLate;
    }
    has_returned = !entry.is_present;
  }
  entries_[id] = {.registration = registration};
  const bool has_changed = table_->Put(registration.endpoint);
  const bool is_cold_news =
      cold_ != nullptr &&
      cold_->RecordRegistration(registration, is_first_snapshot_, now);
  // Hosts that received the drop must also receive the return, even if the
  // table kept the endpoint in the meantime.
  return has_changed || has_returned || is_cold_news
             ? RegistryOutcome::kChanged
             : RegistryOutcome::kUnchanged;
}

bool EndpointRegistry::Drop(const core::RunnerId& id,
                            core::Duration grace,
                            core::TimePoint now) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || !it->second.is_present) {
    return false;
  }
  Entry& entry = it->second;
  entry.is_present = false;
  entry.dropped_at = now;
  entry.usable_until = now + grace;
  if (grace > core::Duration::zero()) {
    return false;
  }
  return table_->Remove(id);
}

void EndpointRegistry::Replace(const std::vector<Registration>& registrations,
                               core::Duration grace,
                               core::TimePoint now) {
  is_first_snapshot_ = !std::exchange(has_snapshot_, true);
  std::set<core::RunnerId> present;
  for (const Registration& it : registrations) {
    present.insert(it.endpoint.id);
    Put(it, now);
  }
  is_first_snapshot_ = false;
  std::vector<core::RunnerId> missing;
  for (const auto& [id, entry] : entries_) {
    if (entry.is_present && !present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const core::RunnerId& id : missing) {
    Drop(id, grace, now);
  }
}

void EndpointRegistry::Expire(core::TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& entry = it->second;
    if (!entry.is_present && now >= entry.usable_until) {
      table_->Remove(it->first);
    }
    const bool is_expired =
        !entry.is_present && now - entry.dropped_at > kTombstoneLifetime;
    it = is_expired ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace wasabi::forwarding
