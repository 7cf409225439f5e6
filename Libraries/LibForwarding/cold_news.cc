#include "LibForwarding/cold_news.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

constexpr int kSends = 3;
// Endpoints that fit in a datagram, at 5 bytes each.
constexpr size_t kMaxReportsPerDatagram = 200;
// Times are rounded up to this, so that endpoints share a group.
constexpr int64_t kRoundingMilliseconds = 100;
// Ends that differ by less are the same news, found out at different times: the
// hosts of a fleet read a registration within 1.2 s.
constexpr core::Duration kMinExtension = core::milliseconds(1500);
// Longest time that a report of another host is believed.
constexpr core::Duration kMaxLeft = core::seconds(120);
// Bounds the memory that reports of other hosts can take.
constexpr size_t kMaxStates = 10'000;

int64_t RoundUp(int64_t milliseconds) {
  return (milliseconds + kRoundingMilliseconds - 1) / kRoundingMilliseconds *
         kRoundingMilliseconds;
}

}  // namespace

ColdNews::ColdNews(core::HostId self, LimitNews::SendFunction send)
    : self_(std::move(self)), send_(std::move(send)) {}

void ColdNews::Record(uint64_t endpoint,
                      const State& state,
                      core::TimePoint now) {
  if (Extend(KeyOf(endpoint), state, now)) {
    QueueReport(KeyOf(endpoint));
  }
}

bool ColdNews::Merge(uint32_t key,
                     double per_second,
                     int64_t left_milliseconds,
                     core::TimePoint now) {
  const int64_t left =
      std::clamp<int64_t>(left_milliseconds, 0, core::ToMilliseconds(kMaxLeft));
  return Extend(
      key, {.per_second = per_second, .until = now + core::milliseconds(left)},
      now);
}

bool ColdNews::Extend(uint32_t key, const State& state, core::TimePoint now) {
  const auto it = states_.find(key);
  const bool is_known = it != states_.end();
  if (state.until <= now || !std::isfinite(state.per_second) ||
      state.per_second <= 0 || (!is_known && states_.size() >= kMaxStates)) {
    return false;
  }
  Entry& entry = is_known ? it->second : states_[key];
  entry.state.per_second = state.per_second;
  entry.state.until = std::max(entry.state.until, state.until);
  if (is_known && state.until <= entry.reported_until + kMinExtension) {
    return false;
  }
  entry.reported_until = state.until;
  if (observer_) {
    observer_(key, entry.state);
  }
  return true;
}

std::optional<ColdNews::State> ColdNews::Find(uint64_t endpoint) const {
  const auto it = states_.find(KeyOf(endpoint));
  return it == states_.end() ? std::nullopt
                             : std::optional<State>(it->second.state);
}

ColdReport ColdNews::ReportOf(uint64_t endpoint, core::TimePoint now) const {
  ColdReport report{.endpoint = endpoint};
  const auto it = states_.find(KeyOf(endpoint));
  if (it != states_.end()) {
    report.per_second = it->second.state.per_second;
    report.left_milliseconds = std::max<int64_t>(
        0, core::ToMilliseconds(it->second.state.until - now));
  }
  return report;
}

void ColdNews::QueueReport(uint32_t key) {
  states_[key].remaining_sends = peers_.PassesReportsOn(self_) ? 1 : kSends;
}

void ColdNews::Tick(core::TimePoint now) {
  // By rate and time left.
  std::map<std::pair<double, int64_t>, ColdGroup> groups;
  for (auto& [key, entry] : states_) {
    if (entry.remaining_sends == 0) {
      continue;
    }
    --entry.remaining_sends;
    const int64_t left = RoundUp(core::ToMilliseconds(entry.state.until - now));
    ColdGroup& group = groups[{entry.state.per_second, left}];
    group.per_second = entry.state.per_second;
    group.left_milliseconds = left;
    group.endpoints.push_back(key);
  }
  for (auto& [shared, group] : groups) {
    Send(std::move(group));
  }
  absl::erase_if(
      states_, [now](const auto& it) { return now >= it.second.state.until; });
}

void ColdNews::Send(ColdGroup group) {
  const std::vector<core::HostId> receivers = peers_.ReceiversOf(self_);
  std::vector<uint32_t> endpoints = std::move(group.endpoints);
  while (!endpoints.empty()) {
    const size_t n = std::min(endpoints.size(), kMaxReportsPerDatagram);
    const auto first = endpoints.end() - static_cast<ptrdiff_t>(n);
    group.endpoints.assign(first, endpoints.end());
    endpoints.erase(first, endpoints.end());
    send_(receivers, membership::ApplicationKind::kColdEndpoints,
          core::Encode(ColdReports{.groups = {group}}));
  }
}

absl::Status ColdNews::OnReports(std::string_view body, core::TimePoint now) {
  TRY_ASSIGN(const auto reports, core::Decode<ColdReports>(body));
  for (const ColdGroup& group : reports.groups) {
    for (const uint32_t key : group.endpoints) {
      const bool is_news =
          Merge(key, group.per_second, group.left_milliseconds, now);
      if (is_news && peers_.PassesReportsOn(self_)) {
        QueueReport(key);
      }
    }
  }
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
