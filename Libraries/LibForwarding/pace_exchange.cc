#include "LibForwarding/pace_exchange.h"

#include <algorithm>

#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

// Reports that fit in a datagram, at 14 bytes each.
constexpr size_t kMaxReportsPerDatagram = 80;
// The aggregators of a data centre hear the same reports. Each but the first
// waits this long for the one before it, and then drops what that has sent.
constexpr core::Duration kRankDelay = core::milliseconds(60);
// Aggregators gather reports for this long: each datagram has 34 bytes of
// headers and goes to all hosts of a data centre.
constexpr core::Duration kRelayInterval = core::milliseconds(100);
constexpr core::Duration kExpiryInterval = core::milliseconds(500);

}  // namespace

PaceExchange::PaceExchange(core::HostId self,
                           EndpointPace* paces,
                           SendFunction send)
    : self_(std::move(self)), paces_(paces), send_(std::move(send)) {}

void PaceExchange::Send(const std::vector<core::HostId>& to,
                        const std::vector<PaceReport>& reports) {
  for (size_t i = 0; i < reports.size(); i += kMaxReportsPerDatagram) {
    const size_t end = std::min(i + kMaxReportsPerDatagram, reports.size());
    const PaceReports part{
        .paces = {reports.begin() + static_cast<ptrdiff_t>(i),
                  reports.begin() + static_cast<ptrdiff_t>(end)}};
    send_(to, membership::ApplicationKind::kEndpointPaces, core::Encode(part));
  }
}

void PaceExchange::Tick(core::TimePoint now) {
  if (now >= next_expiry_at_) {
    next_expiry_at_ = now + kExpiryInterval;
    paces_->Expire(now);
  }
  const bool passes_on = peers_.PassesReportsOn(self_);
  if (passes_on && now < next_relay_at_) {
    return;
  }
  next_relay_at_ = now + kRelayInterval;
  std::vector<PaceReport> near;
  std::vector<PaceReport> everywhere = paces_->TakeNews(now);
  TakeDue(now, &near, &everywhere);
  if (passes_on) {
    near.insert(near.end(), everywhere.begin(), everywhere.end());
    Send(peers_.data_centre, near);
    Send(peers_.other_aggregators, everywhere);
  } else {
    Send(peers_.ReceiversOf(self_), everywhere);
  }
}

void PaceExchange::TakeDue(core::TimePoint now,
                           std::vector<PaceReport>* near,
                           std::vector<PaceReport>* everywhere) {
  for (const Relayed& it : relayed_) {
    if (it.due_at <= now) {
      (it.is_remote ? near : everywhere)
          ->push_back(paces_->ReportOf(it.endpoint, now));
    }
  }
  std::erase_if(relayed_,
                [now](const Relayed& it) { return it.due_at <= now; });
}

absl::Status PaceExchange::OnReports(const core::HostId& from,
                                     std::string_view body,
                                     core::TimePoint now) {
  TRY_ASSIGN(const auto reports, core::Decode<PaceReports>(body));
  const bool passes_on = peers_.PassesReportsOn(self_);
  const auto& others = peers_.other_aggregators;
  const bool is_remote =
      std::find(others.begin(), others.end(), from) != others.end();
  // What an aggregator of this data centre sends has reached its hosts.
  const bool is_spread = peers_.IsAggregator(from);
  const auto self =
      std::find(peers_.aggregators.begin(), peers_.aggregators.end(), self_);
  const auto rank = self - peers_.aggregators.begin();
  for (const PaceReport& it : reports.paces) {
    const bool is_new = paces_->Merge(it, now);
    if (!passes_on) {
      continue;
    }
    if (is_spread) {
      std::erase_if(relayed_, [&it](const Relayed& relayed) {
        return relayed.endpoint == it.endpoint;
      });
    } else if (is_new) {
      relayed_.push_back({.endpoint = it.endpoint,
                          .due_at = now + kRankDelay * rank,
                          .is_remote = is_remote});
    }
  }
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
