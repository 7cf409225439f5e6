#include "LibForwarding/pace_exchange.h"

#include <algorithm>

#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

// Reports that fit in a datagram, at 14 bytes each.
constexpr size_t kMaxReportsPerDatagram = 80;
// The aggregators of a data centre hear the same reports. Each waits this long
// for each one whose turn is before its own, and then drops what that has sent.
constexpr core::Duration kTurnDelay = core::milliseconds(60);
// Aggregators gather reports for this long: each datagram has 34 bytes of
// headers.
constexpr core::Duration kRelayInterval = core::milliseconds(50);
constexpr core::Duration kExpiryInterval = core::milliseconds(500);

using Reports = std::vector<PaceReport>;

// Splits reports into the contents of datagrams.
std::vector<Reports> Parts(const Reports& reports) {
  std::vector<Reports> parts;
  for (size_t i = 0; i < reports.size(); i += kMaxReportsPerDatagram) {
    const size_t end = std::min(i + kMaxReportsPerDatagram, reports.size());
    parts.emplace_back(reports.begin() + static_cast<ptrdiff_t>(i),
                       reports.begin() + static_cast<ptrdiff_t>(end));
  }
  return parts;
}

bool Contains(const std::vector<core::HostId>& hosts,
              const core::HostId& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

}  // namespace

PaceExchange::PaceExchange(core::HostId self,
                           EndpointPace* paces,
                           SendFunction send)
    : self_(std::move(self)), paces_(paces), send_(std::move(send)) {}

void PaceExchange::SetPeers(ReportPeers peers) {
  peers_ = std::move(peers);
  relays_.Keep(peers_.data_centre);
}

void PaceExchange::Send(const std::vector<core::HostId>& to,
                        const Reports& reports,
                        PacePurpose purpose) {
  for (const Reports& it : Parts(reports)) {
    const PaceReports message{.paces = it,
                              .purpose = static_cast<uint8_t>(purpose)};
    send_(to, membership::ApplicationKind::kEndpointPaces,
          core::Encode(message));
  }
}

void PaceExchange::Tick(core::TimePoint now) {
  if (now >= next_expiry_at_) {
    next_expiry_at_ = now + kExpiryInterval;
    paces_->Expire(now);
  }
  if (!peers_.PassesReportsOn(self_)) {
    Send(peers_.ReceiversOf(self_), paces_->TakeNews(now), PacePurpose::kNews);
    return;
  }
  SpreadOverdue(now);
  if (now >= next_relay_at_) {
    next_relay_at_ = now + kRelayInterval;
    PassOn(now);
  }
}

void PaceExchange::PassOn(core::TimePoint now) {
  std::vector<PaceReport> near;
  std::vector<PaceReport> everywhere = paces_->TakeNews(now);
  TakeDue(now, &near, &everywhere);
  near.insert(near.end(), everywhere.begin(), everywhere.end());
  SpreadNear(near, now);
  Send(peers_.other_aggregators, everywhere, PacePurpose::kNews);
}

void PaceExchange::TakeDue(core::TimePoint now,
                           std::vector<PaceReport>* near,
                           std::vector<PaceReport>* everywhere) {
  for (const Relayed& it : relayed_) {
    if (it.due_at <= now) {
      (it.is_far ? near : everywhere)
          ->push_back(paces_->ReportOf(it.endpoint, now));
    }
  }
  std::erase_if(relayed_,
                [now](const Relayed& it) { return it.due_at <= now; });
}

void PaceExchange::Plan(uint32_t endpoint, bool is_far, core::TimePoint now) {
  const auto same = std::find_if(
      relayed_.begin(), relayed_.end(),
      [endpoint](const Relayed& it) { return it.endpoint == endpoint; });
  if (same != relayed_.end()) {
    same->is_far = same->is_far && is_far;
    return;
  }
  relayed_.push_back({.endpoint = endpoint,
                      .due_at = now + kTurnDelay * TurnFor(endpoint),
                      .is_far = is_far});
}

void PaceExchange::SpreadNear(const Reports& reports, core::TimePoint now) {
  for (const Reports& it : Parts(reports)) {
    const core::HostId* relay = relays_.Assign(it, now);
    if (relay == nullptr) {
      Send(peers_.data_centre, it, PacePurpose::kSpreadAlready);
    } else {
      Send({*relay}, it, PacePurpose::kSpread);
    }
  }
}

void PaceExchange::SpreadOverdue(core::TimePoint now) {
  Reports reports;
  for (const uint32_t endpoint : relays_.TakeOverdue(now)) {
    reports.push_back(paces_->ReportOf(endpoint, now));
  }
  Send(peers_.data_centre, reports, PacePurpose::kSpreadAlready);
}

size_t PaceExchange::TurnFor(uint32_t endpoint) const {
  const size_t n = peers_.aggregators.size();
  const auto self =
      std::find(peers_.aggregators.begin(), peers_.aggregators.end(), self_);
  const auto rank = static_cast<size_t>(self - peers_.aggregators.begin());
  return (rank + n - endpoint % n) % n;
}

bool PaceExchange::NoteSpreading(const core::HostId& from,
                                 const PaceReports& reports,
                                 PacePurpose purpose) {
  const bool is_from_aggregator = peers_.IsAggregator(from);
  // Only an aggregator may ask: the request multiplies a datagram.
  if (is_from_aggregator && purpose == PacePurpose::kSpread) {
    Send(peers_.data_centre, reports.paces, PacePurpose::kSpreadAlready);
  }
  if (!Contains(peers_.data_centre, from)) {
    return false;
  }
  if (purpose == PacePurpose::kNews && !is_from_aggregator) {
    relays_.Add(from);
  }
  if (purpose == PacePurpose::kSpreadAlready) {
    relays_.OnSpread(from, reports.paces);
  }
  // What an aggregator of an earlier build sends has reached its hosts.
  return is_from_aggregator || purpose == PacePurpose::kSpreadAlready;
}

absl::Status PaceExchange::OnReports(const core::HostId& from,
                                     std::string_view body,
                                     core::TimePoint now) {
  TRY_ASSIGN(const auto reports, core::Decode<PaceReports>(body));
  const auto purpose = static_cast<PacePurpose>(reports.purpose);
  const bool is_spread = NoteSpreading(from, reports, purpose);
  const bool passes_on = peers_.PassesReportsOn(self_);
  const bool is_far = Contains(peers_.other_aggregators, from);
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
      Plan(it.endpoint, is_far, now);
    }
  }
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
