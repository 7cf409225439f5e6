#include "LibForwarding/reported_outages.h"

#include <algorithm>

#include "LibForwarding/load_table.h"

namespace wasabi::forwarding {

namespace {

// Two report intervals of a large fleet. A recovered endpoint is tried again
// after this time at the latest.
constexpr core::Duration kReportLifetime = core::milliseconds(1500);
constexpr ptrdiff_t kMinReporters = 2;

}  // namespace

void ReportedOutages::ApplyReport(const core::HostId& host,
                                  const std::vector<uint32_t>& silent,
                                  core::TimePoint now) {
  absl::erase_if(reports_, [&host, now](auto& it) {
    std::erase_if(it.second, [&host, now](const Report& report) {
      return report.host == host || now - report.received_at > kReportLifetime;
    });
    return it.second.empty();
  });
  for (const uint32_t key : silent) {
    reports_[key].push_back({.host = host, .received_at = now});
  }
}

void ReportedOutages::Forget(const core::RunnerId& endpoint) {
  reports_.erase(LoadTable::KeyOf(endpoint));
}

bool ReportedOutages::IsSilent(const core::RunnerId& endpoint,
                               core::TimePoint now) const {
  if (reports_.empty()) {
    return false;
  }
  const auto found = reports_.find(LoadTable::KeyOf(endpoint));
  if (found == reports_.end()) {
    return false;
  }
  const auto n = std::count_if(found->second.begin(), found->second.end(),
                               [now](const Report& it) {
                                 return now - it.received_at <= kReportLifetime;
                               });
  return n >= kMinReporters;
}

}  // namespace wasabi::forwarding
