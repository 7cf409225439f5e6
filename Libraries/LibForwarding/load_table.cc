#include "LibForwarding/load_table.h"

#include <algorithm>

#include "LibCore/result_code.h"

namespace wasabi::forwarding {

namespace {

using Counts = absl::flat_hash_map<uint32_t, uint32_t>;

constexpr size_t kSequenceBytes = 6;
constexpr size_t kKeyBytes = 3;
constexpr size_t kEntryBytes = kKeyBytes + 1;
constexpr uint32_t kMaxCount = 255;

void AppendNumber(uint64_t value, size_t n, std::string* bytes) {
  for (size_t i = 0; i < n; ++i) {
    bytes->push_back(static_cast<char>(value >> (8 * i)));
  }
}

uint64_t ReadNumber(std::string_view bytes) {
  uint64_t value = 0;
  for (size_t i = bytes.size(); i > 0; --i) {
    value = (value << 8U) | static_cast<unsigned char>(bytes[i - 1]);
  }
  return value;
}

void SubtractFrom(Counts& counts, uint32_t key, uint32_t n) {
  const auto it = counts.find(key);
  if (it == counts.end()) {
    return;
  }
  it->second -= std::min(it->second, n);
  if (it->second == 0) {
    counts.erase(it);
  }
}

uint32_t CountOf(const Counts& counts, uint32_t key) {
  const auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

std::string EncodeLoadReport(const LoadReport& report) {
  std::string bytes;
  bytes.reserve(kSequenceBytes + kEntryBytes * report.requests.size());
  AppendNumber(report.sequence, kSequenceBytes, &bytes);
  for (const auto& [key, n] : report.requests) {
    AppendNumber(key, kKeyBytes, &bytes);
    AppendNumber(std::min(n, kMaxCount), 1, &bytes);
  }
  return bytes;
}

absl::StatusOr<LoadReport> DecodeLoadReport(std::string_view bytes) {
  if (bytes.size() < kSequenceBytes ||
      (bytes.size() - kSequenceBytes) % kEntryBytes != 0) {
    return core::MakeStatus(
        core::ResultCode::kMalformedMessage,
        "the load report's length is not a whole number of entries");
  }
  LoadReport report;
  report.sequence = ReadNumber(bytes.substr(0, kSequenceBytes));
  bytes.remove_prefix(kSequenceBytes);
  while (!bytes.empty()) {
    report.requests.emplace_back(
        static_cast<uint32_t>(ReadNumber(bytes.substr(0, kKeyBytes))),
        static_cast<uint32_t>(ReadNumber(bytes.substr(kKeyBytes, 1))));
    bytes.remove_prefix(kEntryBytes);
  }
  return report;
}

uint32_t LoadTable::KeyOf(const core::RunnerId& endpoint) {
  constexpr uint64_t kKeyMask = (1U << (8 * kKeyBytes)) - 1;
  return static_cast<uint32_t>(endpoint.Hash() & kKeyMask);
}

void LoadTable::Start(const core::RunnerId& endpoint) {
  ++own_counts_[KeyOf(endpoint)];
}

void LoadTable::Finish(const core::RunnerId& endpoint) {
  SubtractFrom(own_counts_, KeyOf(endpoint), 1);
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
  Subtract(entry.report);
  entry.report = report;
  entry.received_at = now;
  for (const auto& [key, n] : report.requests) {
    reported_counts_[key] += n;
  }
}

void LoadTable::RemoveHost(const core::HostId& host) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) {
    return;
  }
  Subtract(it->second.report);
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

uint32_t LoadTable::Load(const core::RunnerId& endpoint) const {
  const uint32_t key = KeyOf(endpoint);
  return CountOf(own_counts_, key) + CountOf(reported_counts_, key);
}

uint32_t LoadTable::OwnLoad(const core::RunnerId& endpoint) const {
  return CountOf(own_counts_, KeyOf(endpoint));
}

LoadReport LoadTable::MakeReport() {
  LoadReport report;
  report.sequence = ++sequence_;
  report.requests.assign(own_counts_.begin(), own_counts_.end());
  return report;
}

void LoadTable::Subtract(const LoadReport& report) {
  for (const auto& [key, n] : report.requests) {
    SubtractFrom(reported_counts_, key, n);
  }
}

}  // namespace wasabi::forwarding
