#include "LibForwarding/load_exchange.h"

#include <algorithm>
#include <utility>

#include "LibCore/try.h"
#include "LibMembership/gossip_node.h"

namespace wasabi::forwarding {

namespace {

using membership::ApplicationKind;

constexpr core::Duration kMinDirectInterval = core::milliseconds(100);
constexpr double kMaxDirectBytesPerSecond = 9000;
constexpr int kDirectLifetimeIntervals = 4;
// Typical bytes of a report of one host, and the bytes of IP, UDP and datagram
// headers.
constexpr double kReportBytes = 85;
constexpr double kHeaderBytes = 34;

// Time between two reports to the aggregators while counts change, and while
// they don't.
constexpr core::Duration kReportInterval = core::milliseconds(100);
constexpr core::Duration kHeartbeatInterval = core::milliseconds(300);
constexpr core::Duration kReportLifetime = core::milliseconds(1200);
constexpr core::Duration kMinTotalInterval = core::milliseconds(100);
constexpr core::Duration kMaxTotalInterval = core::milliseconds(500);
// A total is kept for this long while no newer one arrives.
constexpr core::Duration kTotalLifetime = core::seconds(2);
// An aggregator acts when it has heard no total for two intervals and this
// long, multiplied by its rank.
constexpr core::Duration kTakeoverSlack = core::milliseconds(200);
// Minimum share of the hosts of a data centre whose reports a total contains.
// It is low because hosts that fail together remain members for a while.
constexpr double kMinCoveredShare = 0.25;

core::Duration IntervalFor(double bytes, double rate) {
  return core::FromSeconds(bytes / rate);
}

}  // namespace

LoadExchange::LoadExchange(LoadExchangeOptions options,
                           LoadTable* loads,
                           SendFunction send)
    : options_(std::move(options)),
      loads_(loads),
      send_(std::move(send)),
      sequence_(options_.first_sequence) {}

void LoadExchange::SetPeers(ReportPeers peers) {
  peers_ = std::move(peers);
  assemblies_.clear();
}

void LoadExchange::Tick(core::TimePoint now) {
  loads_->Expire(DirectInterval() * kDirectLifetimeIntervals, now);
  loads_->ExpireTotal(kTotalLifetime, now);
  aggregation_.Expire(kReportLifetime, now);
  if (!peers_.UsesAggregators()) {
    SendDirectReport(now);
    return;
  }
  SendAggregatorReport(now);
  aggregation_.SetHost(options_.self, loads_->own_counts(), now);
  if (IsActing(now)) {
    SendTotal(now);
  }
}

core::Duration LoadExchange::DirectInterval() const {
  const double bytes = kReportBytes * static_cast<double>(peers_.fleet.size());
  return std::max(kMinDirectInterval,
                  IntervalFor(bytes, kMaxDirectBytesPerSecond));
}

core::Duration LoadExchange::TotalInterval() const {
  const double bytes =
      (kHeaderBytes + static_cast<double>(LoadReportBytes(endpoints_))) *
      static_cast<double>(peers_.data_centre.size());
  return std::clamp(IntervalFor(bytes, options_.aggregator_rate),
                    kMinTotalInterval, kMaxTotalInterval);
}

core::Duration LoadExchange::MaxAge() const {
  return peers_.UsesAggregators() ? kReportInterval + TotalInterval()
                                  : DirectInterval();
}

void LoadExchange::SendDirectReport(core::TimePoint now) {
  if (now < next_report_at_) {
    return;
  }
  next_report_at_ = now + DirectInterval();
  Send(peers_.fleet, ApplicationKind::kEndpointLoads, loads_->MakeReport());
}

void LoadExchange::SendAggregatorReport(core::TimePoint now) {
  const bool is_due = now >= next_heartbeat_at_ ||
                      (now >= next_report_at_ && loads_->HasNews());
  if (!is_due) {
    return;
  }
  next_report_at_ = now + kReportInterval;
  next_heartbeat_at_ = now + kHeartbeatInterval;
  std::vector<core::HostId> to = peers_.aggregators;
  std::erase(to, options_.self);
  Send(to, ApplicationKind::kEndpointLoads, loads_->MakeReport());
}

bool LoadExchange::IsActing(core::TimePoint now) const {
  const auto& ranked = peers_.aggregators;
  const auto self = std::find(ranked.begin(), ranked.end(), options_.self);
  if (self == ranked.end() || !CoversDataCentre(aggregation_.host_count())) {
    return false;
  }
  const auto rank = self - ranked.begin();
  return now - total_heard_at_ > (TotalInterval() * 2 + kTakeoverSlack) * rank;
}

bool LoadExchange::CoversDataCentre(size_t hosts) const {
  return static_cast<double>(hosts) >
         kMinCoveredShare * static_cast<double>(peers_.data_centre.size() + 1);
}

void LoadExchange::SendTotal(core::TimePoint now) {
  if (now < next_total_at_) {
    return;
  }
  const EndpointCounts total = aggregation_.Total();
  const auto hosts = static_cast<uint32_t>(aggregation_.host_count());
  endpoints_ = total.size();
  next_total_at_ = now + TotalInterval();
  loads_->ApplyTotal(total, loads_->own_counts(), now);
  ++sequence_;
  Send(peers_.other_aggregators, ApplicationKind::kEndpointLoadSums,
       {.sequence = sequence_,
        .hosts = hosts,
        .requests = aggregation_.Local()});
  Send(peers_.data_centre, ApplicationKind::kEndpointLoadTotal,
       {.sequence = sequence_, .hosts = hosts, .requests = total});
}

void LoadExchange::Send(const std::vector<core::HostId>& to,
                        ApplicationKind kind,
                        const LoadReport& report) {
  for (const std::string& it :
       EncodeLoadReport(report, membership::kMaxApplicationBytes)) {
    send_(to, kind, it);
  }
}

absl::StatusOr<std::optional<LoadReport>> LoadExchange::Receive(
    const membership::Member& from,
    std::string_view body) {
  TRY_ASSIGN(LoadReport part, DecodeLoadReport(body));
  if (part.parts == 1) {
    return std::optional<LoadReport>(std::move(part));
  }
  return assemblies_[from.id].Add(part);
}

absl::Status LoadExchange::OnReport(const membership::Member& from,
                                    std::string_view body,
                                    core::TimePoint now) {
  TRY_ASSIGN(const std::optional<LoadReport> report, Receive(from, body));
  if (!report) {
    return absl::OkStatus();
  }
  if (peers_.UsesAggregators()) {
    aggregation_.SetHost(from.id, report->requests, now);
  } else {
    loads_->ApplyReport(from.id, *report, now);
  }
  return absl::OkStatus();
}

absl::Status LoadExchange::OnSums(const membership::Member& from,
                                  std::string_view body,
                                  core::TimePoint now) {
  TRY_ASSIGN(const std::optional<LoadReport> sums, Receive(from, body));
  if (sums) {
    aggregation_.SetDataCentre(from.data_centre, sums->requests, now);
  }
  return absl::OkStatus();
}

absl::Status LoadExchange::OnTotal(const membership::Member& from,
                                   std::string_view body,
                                   core::TimePoint now) {
  TRY_ASSIGN(const std::optional<LoadReport> total, Receive(from, body));
  if (!total || !CoversDataCentre(total->hosts)) {
    return absl::OkStatus();
  }
  total_heard_at_ = now;
  endpoints_ = total->requests.size();
  loads_->ApplyTotal(total->requests, loads_->reported_own_counts(), now);
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
