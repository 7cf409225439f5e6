#include "LibLoad/pool_load_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::load {

namespace {

using membership::ApplicationKind;

// Approximate size of a report of one pool, including IP and UDP headers.
constexpr double kReportBytes = 80;
// Maximum number of pools in one datagram. The settings limit the length of
// pool names.
constexpr size_t kPoolsPerDatagram = 12;
// Totals and sums expire after this many report intervals, but not before
// kMinLifetime.
constexpr int kLifetimeIntervals = 4;
constexpr core::Duration kMinLifetime = core::seconds(2);
// Bounds the memory that a faulty peer can make an aggregator use.
constexpr size_t kMaxAggregatedPools = 1024;

std::string AggregatorKey(const core::PoolId& pool) {
  return fmt::format("pool/{}", pool.value());
}

const membership::Member* AggregatorOf(const membership::MemberTable& table,
                                       const core::PoolId& pool,
                                       const core::DataCentreId& data_centre) {
  return table.OwnerInDataCentre(AggregatorKey(pool),
                                 membership::MemberRole::kRouter, data_centre);
}

std::set<core::DataCentreId> DataCentresOf(
    const membership::MemberTable& table) {
  std::set<core::DataCentreId> data_centres;
  for (const membership::Member& it : table.members()) {
    data_centres.insert(it.data_centre);
  }
  return data_centres;
}

// Returns `total` with `share` replaced by `demand`. The remainder is clamped
// at zero because rounding can make it negative.
routing::PoolDemand ReplaceShare(const routing::PoolDemand& total,
                                 const routing::PoolDemand& share,
                                 const routing::PoolDemand& demand) {
  routing::PoolDemand result = demand;
  result.runners += total.runners - std::min(total.runners, share.runners);
  result.requests += std::max(0.0, total.requests - share.requests);
  result.tokens += std::max(0.0, total.tokens - share.tokens);
  return result;
}

}  // namespace

PoolLoadExchange::PoolLoadExchange(PoolLoadOptions options, SendFunction send)
    : options_(std::move(options)),
      send_(std::move(send)),
      interval_(options_.min_interval),
      sequence_(options_.first_sequence) {}

void PoolLoadExchange::SetLocalDemand(const core::PoolId& pool,
                                      const routing::PoolDemand& demand) {
  local_[pool].demand = demand;
}

void PoolLoadExchange::RemoveLocalDemand(const core::PoolId& pool) {
  local_.erase(pool);
}

routing::PoolDemand PoolLoadExchange::Total(const core::PoolId& pool,
                                            core::TimePoint now) const {
  const auto it = local_.find(pool);
  if (it == local_.end()) {
    return {};
  }
  const LocalPool& local = it->second;
  if (!local.total_at || now - *local.total_at > Lifetime()) {
    return local.demand;
  }
  return ReplaceShare(local.total, local.share, local.demand);
}

void PoolLoadExchange::Tick(const membership::MemberTable& table,
                            core::TimePoint now) {
  UpdateInterval(table);
  SendReports(table, now);
  ExpireSums(table, now);
  ExchangeSums(table, now);
}

void PoolLoadExchange::UpdateInterval(const membership::MemberTable& table) {
  const auto& members = table.members();
  const auto hosts = std::count_if(
      members.begin(), members.end(), [&](const membership::Member& it) {
        return it.role == membership::MemberRole::kRouter &&
               it.data_centre == options_.data_centre;
      });
  const double bytes = kReportBytes * static_cast<double>(hosts) *
                       static_cast<double>(local_.size());
  interval_ = std::max(options_.min_interval,
                       core::FromSeconds(bytes / options_.aggregator_rate));
}

core::Duration PoolLoadExchange::Lifetime() const {
  return std::max(kMinLifetime, kLifetimeIntervals * interval_);
}

bool PoolLoadExchange::IsReportDue(const LocalPool& pool,
                                   core::TimePoint now) const {
  if (!pool.reported_at || now - *pool.reported_at >= interval_) {
    return true;
  }
  const double kept = 1 - options_.early_report_threshold;
  const bool has_fallen = pool.demand.tokens < pool.reported.tokens * kept ||
                          pool.demand.requests < pool.reported.requests * kept;
  return has_fallen && now - *pool.reported_at >= interval_ / 2;
}

void PoolLoadExchange::SendReports(const membership::MemberTable& table,
                                   core::TimePoint now) {
  std::map<core::HostId, std::vector<PoolEntry>> by_aggregator;
  ++sequence_;
  for (auto& [pool, local] : local_) {
    const membership::Member* aggregator =
        AggregatorOf(table, pool, options_.data_centre);
    if (aggregator == nullptr || !IsReportDue(local, now)) {
      continue;
    }
    local.reported = local.demand;
    local.reported_at = now;
    local.sequence = sequence_;
    by_aggregator[aggregator->id].push_back({pool, local.demand});
  }
  for (const auto& [aggregator, entries] : by_aggregator) {
    SendEntries(aggregator, ApplicationKind::kPoolReport,
                PoolReport{sequence_, {}}, entries);
  }
}

void PoolLoadExchange::ExpireSums(const membership::MemberTable& table,
                                  core::TimePoint now) {
  for (auto& [pool, it] : aggregated_) {
    it.sums.Expire(Lifetime(), now);
    it.sums.RemoveHostsIf([&table](const core::HostId& owner) {
      return table.Find(owner) == nullptr;
    });
  }
  std::erase_if(aggregated_,
                [](const auto& it) { return it.second.sums.empty(); });
}

void PoolLoadExchange::ExchangeSums(const membership::MemberTable& table,
                                    core::TimePoint now) {
  std::map<core::HostId, std::vector<PoolEntry>> by_aggregator;
  const std::set<core::DataCentreId> data_centres = DataCentresOf(table);
  for (auto& [pool, it] : aggregated_) {
    const membership::Member* own =
        AggregatorOf(table, pool, options_.data_centre);
    // A former aggregator sends no sums, since they would conflict with those
    // of its successor.
    if (own == nullptr || own->id != options_.self ||
        now < it.next_exchange_at || now < it.complete_at) {
      continue;
    }
    it.next_exchange_at = now + options_.min_interval;
    for (const core::DataCentreId& data_centre : data_centres) {
      const membership::Member* other = AggregatorOf(table, pool, data_centre);
      if (data_centre != options_.data_centre && other != nullptr) {
        by_aggregator[other->id].push_back({pool, it.sums.Local()});
      }
    }
  }
  for (const auto& [aggregator, entries] : by_aggregator) {
    SendEntries(aggregator, ApplicationKind::kPoolSums, PoolSums{}, entries);
  }
}

PoolLoadExchange::AggregatedPool& PoolLoadExchange::FindOrAddAggregatedPool(
    const core::PoolId& pool,
    core::TimePoint now) {
  const auto [it, is_new] = aggregated_.try_emplace(pool);
  if (is_new) {
    // Every owner sends at least one report per interval.
    it->second.complete_at = now + interval_;
  }
  return it->second;
}

absl::Status PoolLoadExchange::OnDatagram(const membership::Member& from,
                                          membership::ApplicationKind kind,
                                          std::string_view body,
                                          core::TimePoint now) {
  switch (kind) {
    case ApplicationKind::kPoolReport:
      return OnReport(from, body, now);
    case ApplicationKind::kPoolTotals:
      return OnTotals(from, body, now);
    case ApplicationKind::kPoolSums:
      return OnSums(from, body, now);
    default:
      return core::MakeStatus(
          core::ResultCode::kMalformedMessage,
          "datagram kind does not belong to the pool load exchange");
  }
}

absl::Status PoolLoadExchange::OnReport(const membership::Member& from,
                                        std::string_view body,
                                        core::TimePoint now) {
  TRY_ASSIGN(const PoolReport report, core::Decode<PoolReport>(body));
  std::vector<PoolEntry> totals;
  for (const PoolEntry& it : report.pools) {
    if (aggregated_.size() >= kMaxAggregatedPools &&
        !aggregated_.contains(it.pool)) {
      continue;
    }
    AggregatedPool& pool = FindOrAddAggregatedPool(it.pool, now);
    pool.sums.SetHost(from.id, it.demand, now);
    if (now >= pool.complete_at) {
      totals.push_back({it.pool, pool.sums.Total()});
    }
  }
  if (!totals.empty()) {
    SendEntries(from.id, ApplicationKind::kPoolTotals,
                PoolTotals{report.sequence, {}}, totals);
  }
  return absl::OkStatus();
}

absl::Status PoolLoadExchange::OnTotals(const membership::Member&,
                                        std::string_view body,
                                        core::TimePoint now) {
  TRY_ASSIGN(const PoolTotals totals, core::Decode<PoolTotals>(body));
  for (const PoolEntry& it : totals.pools) {
    const auto local = local_.find(it.pool);
    // A total that answers an earlier report includes a different local share.
    if (local != local_.end() && local->second.sequence == totals.sequence) {
      local->second.total = it.demand;
      local->second.share = local->second.reported;
      local->second.total_at = now;
    }
  }
  return absl::OkStatus();
}

absl::Status PoolLoadExchange::OnSums(const membership::Member& from,
                                      std::string_view body,
                                      core::TimePoint now) {
  TRY_ASSIGN(const PoolSums sums, core::Decode<PoolSums>(body));
  for (const PoolEntry& it : sums.pools) {
    if (aggregated_.size() < kMaxAggregatedPools ||
        aggregated_.contains(it.pool)) {
      FindOrAddAggregatedPool(it.pool, now)
          .sums.SetDataCentre(from.data_centre, it.demand, now);
    }
  }
  return absl::OkStatus();
}

template <typename Message>
void PoolLoadExchange::SendEntries(
    const core::HostId& to,
    membership::ApplicationKind kind,
    Message message,
    const std::vector<PoolEntry>& entries) const {
  for (size_t i = 0; i < entries.size(); i += kPoolsPerDatagram) {
    const size_t end = std::min(entries.size(), i + kPoolsPerDatagram);
    message.pools.assign(entries.begin() + static_cast<std::ptrdiff_t>(i),
                         entries.begin() + static_cast<std::ptrdiff_t>(end));
    send_(to, kind, core::Encode(message));
  }
}

}  // namespace wasabi::load
