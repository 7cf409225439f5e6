#include "LibForwarding/limit_table.h"

#include <algorithm>
#include <cmath>

namespace wasabi::forwarding {

namespace {

// Other hosts hear of a change of at least this share.
constexpr double kMinReportedChange = 0.05;
// The end of a limit is remembered for this long, so that older reports do not
// bring the limit back.
constexpr core::Duration kEndedLifetime = core::seconds(10);

bool DiffersMuch(double a, double b) {
  return std::abs(a - b) > kMinReportedChange * std::max(a, b);
}

}  // namespace

bool LimitTable::Record(uint64_t endpoint,
                        std::optional<double> per_second,
                        core::TimePoint now) {
  const auto it = limits_.find(endpoint);
  if (it == limits_.end() && !per_second) {
    return false;
  }
  Limit& limit = it == limits_.end() ? limits_[endpoint] : it->second;
  const double before = limit.per_second;
  limit = {.per_second = per_second.value_or(0), .announced_at = now};
  return DiffersMuch(before, limit.per_second);
}

bool LimitTable::Merge(const LimitReport& report, core::TimePoint now) {
  const core::TimePoint announced_at =
      now - core::milliseconds(std::max<int64_t>(0, report.age_milliseconds));
  const bool is_valid =
      std::isfinite(report.per_second) && report.per_second >= 0;
  const auto it = limits_.find(report.endpoint);
  const bool is_known = it != limits_.end();
  if (!is_valid || (is_known && it->second.announced_at >= announced_at) ||
      (!is_known && report.per_second == 0)) {
    return false;
  }
  Limit& limit = is_known ? it->second : limits_[report.endpoint];
  const double before = limit.per_second;
  limit = {.per_second = report.per_second, .announced_at = announced_at};
  return DiffersMuch(before, limit.per_second);
}

void LimitTable::Expire(core::TimePoint now) {
  absl::erase_if(limits_, [now](const auto& it) {
    return it.second.per_second == 0 &&
           now - it.second.announced_at > kEndedLifetime;
  });
}

std::optional<double> LimitTable::Find(uint64_t endpoint) const {
  const auto it = limits_.find(endpoint);
  if (it == limits_.end() || it->second.per_second == 0) {
    return std::nullopt;
  }
  return it->second.per_second;
}

LimitReport LimitTable::ReportOf(uint64_t endpoint, core::TimePoint now) const {
  const auto it = limits_.find(endpoint);
  if (it == limits_.end()) {
    return {.endpoint = endpoint,
            .age_milliseconds = core::ToMilliseconds(kEndedLifetime)};
  }
  return {
      .endpoint = endpoint,
      .per_second = it->second.per_second,
      .age_milliseconds = core::ToMilliseconds(now - it->second.announced_at)};
}

std::vector<LimitReport> LimitTable::InForce(core::TimePoint now) const {
  std::vector<LimitReport> reports;
  for (const auto& [endpoint, limit] : limits_) {
    if (limit.per_second > 0) {
      reports.push_back(ReportOf(endpoint, now));
    }
  }
  return reports;
}

}  // namespace wasabi::forwarding
