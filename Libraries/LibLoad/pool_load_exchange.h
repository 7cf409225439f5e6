// Computes the total demand on each pool across all data centres. It is
// decision code without I/O. Owners report the demand on their runners to one
// aggregator per pool and data centre, which is selected by rendezvous hashing.
// Aggregators exchange their sums and answer each report with the total.
//
// The report interval grows with the number of hosts in the data centre, which
// bounds the traffic of an aggregator. Falling demand is reported earlier,
// because a stale total is too high and lets a runner exceed its bound.

#ifndef LIBLOAD_POOL_LOAD_EXCHANGE_H_
#define LIBLOAD_POOL_LOAD_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibLoad/aggregation.h"
#include "LibLoad/pool_load_message.h"
#include "LibMembership/application_kind.h"
#include "LibMembership/member_table.h"
#include "LibRouting/pool_load.h"
#include "absl/status/status.h"

namespace wasabi::load {

struct PoolLoadOptions {
  core::HostId self;
  core::DataCentreId data_centre;
  // Minimum interval between reports, which applies in a small data centre.
  core::Duration min_interval = core::milliseconds(200);
  // Limit on the reports of a data centre to one aggregator, in bytes per
  // second including IP and UDP headers. Its answers use the same amount again.
  double aggregator_rate = 4000;
  // If demand has fallen by more than this fraction since the last report, the
  // next report is due after half the interval. 1 disables early reports.
  double early_report_threshold = 0.05;
  // Reports are numbered above this, which differs from those of this host's
  // previous process: the number alone tells which report a total answers.
  uint32_t first_sequence = 0;
};

class PoolLoadExchange {
 public:
  using SendFunction = std::function<void(const core::HostId& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;

  PoolLoadExchange(PoolLoadOptions options, SendFunction send);

  // Sets the demand on the runners of `pool` that this host currently owns. A
  // host that owns none of them may set zeros to receive the total.
  void SetLocalDemand(const core::PoolId& pool,
                      const routing::PoolDemand& demand);
  // Stops reporting `pool` and discards its total.
  void RemoveLocalDemand(const core::PoolId& pool);

  // Returns the demand on the whole pool: the latest total, in which this
  // host's reported share is replaced by its current demand. Returns only the
  // current local demand if no aggregator has answered recently, and zeros if
  // SetLocalDemand wasn't called for `pool`.
  routing::PoolDemand Total(const core::PoolId& pool,
                            core::TimePoint now) const;

  // Sends due reports and sums and removes expired sums. Must be called at
  // least every half `min_interval`.
  void Tick(const membership::MemberTable& table, core::TimePoint now);

  // Handles a datagram body of `kind` received from a member. Returns
  // kMalformedMessage if it can't be decoded or has another module's kind.
  absl::Status OnDatagram(const membership::Member& from,
                          membership::ApplicationKind kind,
                          std::string_view body,
                          core::TimePoint now);

  // Returns the report interval for the current size of the data centre.
  core::Duration interval() const { return interval_; }

 private:
  struct LocalPool {
    routing::PoolDemand demand;
    // The demand, sequence number and time of the last report.
    routing::PoolDemand reported;
    uint32_t sequence = 0;
    std::optional<core::TimePoint> reported_at;
    // The latest total, the share of this host in it, and the time of receipt.
    routing::PoolDemand total;
    routing::PoolDemand share;
    std::optional<core::TimePoint> total_at;
  };
  // A pool for which this host is or was the aggregator.
  struct AggregatedPool {
    Aggregation<routing::PoolDemand> sums;
    // Time from which the sums include a report from every owner. No totals or
    // sums are sent before.
    core::TimePoint complete_at{};
    core::TimePoint next_exchange_at{};
  };

  void UpdateInterval(const membership::MemberTable& table);
  core::Duration Lifetime() const;
  bool IsReportDue(const LocalPool& pool, core::TimePoint now) const;
  void SendReports(const membership::MemberTable& table, core::TimePoint now);
  void ExchangeSums(const membership::MemberTable& table, core::TimePoint now);
  void ExpireSums(const membership::MemberTable& table, core::TimePoint now);
  AggregatedPool& FindOrAddAggregatedPool(const core::PoolId& pool,
                                          core::TimePoint now);

  absl::Status OnReport(const membership::Member& from,
                        std::string_view body,
                        core::TimePoint now);
  absl::Status OnTotals(const membership::Member& from,
                        std::string_view body,
                        core::TimePoint now);
  absl::Status OnSums(const membership::Member& from,
                      std::string_view body,
                      core::TimePoint now);
  // Sends the entries, split over as many datagrams as necessary.
  template <typename Message>
  void SendEntries(const core::HostId& to,
                   membership::ApplicationKind kind,
                   Message message,
                   const std::vector<PoolEntry>& entries) const;

  const PoolLoadOptions options_;
  const SendFunction send_;
  std::map<core::PoolId, LocalPool> local_;
  std::map<core::PoolId, AggregatedPool> aggregated_;
  core::Duration interval_;
  uint32_t sequence_;
};

}  // namespace wasabi::load

#endif  // LIBLOAD_POOL_LOAD_EXCHANGE_H_
