#include "LibForwarding/limit_news.h"

#include <algorithm>

#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

constexpr int kSends = 3;
constexpr core::Duration kReportInterval = core::milliseconds(150);
// Reports that fit in a datagram, at 22 bytes each.
constexpr size_t kMaxReportsPerDatagram = 50;

}  // namespace

LimitNews::LimitNews(core::HostId self,
                     membership::ApplicationKind kind,
                     SendFunction send)
    : self_(std::move(self)), kind_(kind), send_(std::move(send)) {}

void LimitNews::Record(uint64_t endpoint,
                       std::optional<double> limit,
                       core::TimePoint now) {
  if (table_.Record(endpoint, limit, now)) {
    QueueReport(endpoint);
  }
}

void LimitNews::Tick(core::TimePoint now) {
  table_.Expire(now);
  SendReports(now);
}

void LimitNews::QueueReport(uint64_t endpoint) {
  const int sends = peers_.PassesReportsOn(self_) ? 1 : kSends;
  for (PendingReport& it : pending_) {
    if (it.endpoint == endpoint) {
      it.remaining_sends = sends;
      return;
    }
  }
  pending_.push_back({.endpoint = endpoint, .remaining_sends = sends});
}

void LimitNews::SendReports(core::TimePoint now) {
  if (now < next_reports_at_ || pending_.empty()) {
    return;
  }
  next_reports_at_ = now + kReportInterval;
  std::vector<LimitReport> reports;
  for (PendingReport& it : pending_) {
    --it.remaining_sends;
    reports.push_back(table_.ReportOf(it.endpoint, now));
  }
  Send(peers_.ReceiversOf(self_), reports);
  std::erase_if(pending_, [](const PendingReport& it) {
    return it.remaining_sends <= 0;
  });
}

void LimitNews::SendAll(const core::HostId& to, core::TimePoint now) {
  Send({to}, table_.InForce(now));
}

void LimitNews::Send(const std::vector<core::HostId>& to,
                     const std::vector<LimitReport>& reports) {
  for (size_t i = 0; i < reports.size(); i += kMaxReportsPerDatagram) {
    const size_t end = std::min(reports.size(), i + kMaxReportsPerDatagram);
    LimitReports datagram;
    datagram.limits.assign(reports.begin() + static_cast<ptrdiff_t>(i),
                           reports.begin() + static_cast<ptrdiff_t>(end));
    send_(to, kind_, core::Encode(datagram));
  }
}

absl::Status LimitNews::OnReports(std::string_view body, core::TimePoint now) {
  TRY_ASSIGN(const auto reports, core::Decode<LimitReports>(body));
  for (const LimitReport& it : reports.limits) {
    if (table_.Merge(it, now) && peers_.PassesReportsOn(self_)) {
      QueueReport(it.endpoint);
    }
  }
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
