#include "LibForwarding/load_table.h"

#include <algorithm>
#include <vector>

namespace wasabi::forwarding {

void LoadTable::Start(const core::RunnerId& endpoint) {
  own_counts_.Add(EndpointKeyOf(endpoint), 1);
}

void LoadTable::Finish(const core::RunnerId& endpoint) {
  own_counts_.Subtract(EndpointKeyOf(endpoint), 1);
}

void LoadTable::ApplyReport(const core::HostId& host,
                            const LoadReport& report,
                            core::TimePoint now) {
  HostEntry& entry = hosts_[host];
  // A sequence number that is lower by this much or more comes from a host that
  // has restarted.
  constexpr uint64_t kReorderWindow = 16;
  const bool is_late = report.sequence <= entry.report.sequence &&
                       report.sequence + kReorderWindow > entry.report.sequence;
  if (is_late) {
    return;
  }
  reported_counts_.Subtract(entry.report.requests);
  entry.report = report;
  entry.received_at = now;
  reported_counts_.Add(report.requests);
}

void LoadTable::RemoveHost(const core::HostId& host) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) {
    return;
  }
  reported_counts_.Subtract(it->second.report.requests);
  hosts_.erase(it);
}

void LoadTable::Expire(core::Duration lifetime, core::TimePoint now) {
  std::vector<core::HostId> expired;
  for (const auto& [host, entry] : hosts_) {
    if (now - entry.received_at > lifetime) {
      expired.push_back(host);
    }
  }
  for (const core::HostId& host : expired) {
    RemoveHost(host);
  }
}

void LoadTable::ApplyTotal(const EndpointCounts& total,
                           const EndpointCounts& own,
                           core::TimePoint now) {
  total_ = {.counts = total, .own_counts = own, .received_at = now};
}

void LoadTable::ExpireTotal(core::Duration lifetime, core::TimePoint now) {
  if (total_ && now - total_->received_at > lifetime) {
    total_.reset();
  }
}

void LoadTable::SetOtherCounts(const EndpointCounts& counts) {
  own_counts_.Subtract(other_counts_);
  other_counts_ = counts;
  own_counts_.Add(other_counts_);
}

uint32_t LoadTable::CountElsewhere(uint32_t key) const {
  if (!total_) {
    return reported_counts_.Of(key);
  }
  const uint32_t total = total_->counts.Of(key);
  return total - std::min(total, total_->own_counts.Of(key));
}

std::optional<core::Duration> LoadTable::AgeOfOthers(
    core::TimePoint now) const {
  if (total_) {
    return now - total_->received_at;
  }
  std::optional<core::Duration> age;
  for (const auto& [host, entry] : hosts_) {
    age =
        std::min(age.value_or(core::Duration::max()), now - entry.received_at);
  }
  return age;
}

uint32_t LoadTable::Load(const core::RunnerId& endpoint) const {
  const uint32_t key = EndpointKeyOf(endpoint);
  return own_counts_.Of(key) + CountElsewhere(key);
}

uint32_t LoadTable::OwnLoad(uint64_t id_hash) const {
  return own_counts_.Of(EndpointKeyOf(id_hash));
}

LoadReport LoadTable::MakeReport() {
  reported_own_counts_ = own_counts_;
  return {.sequence = ++sequence_, .requests = own_counts_};
}

}  // namespace wasabi::forwarding
