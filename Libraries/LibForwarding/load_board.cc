#include "LibForwarding/load_board.h"

#include <algorithm>

namespace wasabi::forwarding {

namespace {

using Counts = absl::flat_hash_map<uint64_t, uint32_t>;

void SubtractFrom(Counts& counts, uint64_t key, uint32_t n) {
  const auto it = counts.find(key);
  if (it == counts.end()) {
    return;
  }
  it->second -= std::min(it->second, n);
  if (it->second == 0) {
    counts.erase(it);
  }
}

uint32_t CountOf(const Counts& counts, uint64_t key) {
  const auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

void LoadBoard::Start(const core::RunnerId& endpoint) {
  ++own_[endpoint.Hash()];
}

void LoadBoard::Finish(const core::RunnerId& endpoint) {
  SubtractFrom(own_, endpoint.Hash(), 1);
}

void LoadBoard::ApplyReport(const core::HostId& host,
                            const LoadReport& report,
                            core::TimePoint now) {
  HostEntry& entry = hosts_[host];
  // A report with a much lower sequence comes from a host that started again.
  constexpr uint64_t kReorderWindow = 16;
  const bool is_late = report.sequence <= entry.report.sequence &&
                       report.sequence + kReorderWindow > entry.report.sequence;
  if (is_late) {
    return;
  }
  Subtract(entry.report);
  entry.report = report;
  entry.received_at = now;
  for (const auto& [key, n] : report.requests) {
    others_[key] += n;
  }
}

void LoadBoard::ForgetHost(const core::HostId& host) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) {
    return;
  }
  Subtract(it->second.report);
  hosts_.erase(it);
}

void LoadBoard::Expire(core::Duration lifetime, core::TimePoint now) {
  std::vector<core::HostId> expired;
  for (const auto& [host, entry] : hosts_) {
    if (now - entry.received_at > lifetime) {
      expired.push_back(host);
    }
  }
  for (const core::HostId& host : expired) {
    ForgetHost(host);
  }
}

uint32_t LoadBoard::Load(const core::RunnerId& endpoint) const {
  const uint64_t key = endpoint.Hash();
  return CountOf(own_, key) + CountOf(others_, key);
}

LoadReport LoadBoard::MakeReport() {
  LoadReport report;
  report.sequence = ++sequence_;
  report.requests.assign(own_.begin(), own_.end());
  return report;
}

void LoadBoard::Subtract(const LoadReport& report) {
  for (const auto& [key, n] : report.requests) {
    SubtractFrom(others_, key, n);
  }
}

}  // namespace wasabi::forwarding
