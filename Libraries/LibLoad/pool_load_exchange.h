// The exchange of load sums as pure decision code. Owners report the demand on
// their runners to one aggregator per pool and data centre, found by hashing;
// aggregators exchange their sums, and answer each report with the total.
//
// Intervals grow with the hosts of the data centre, so that an aggregator's
// bytes stay bounded. Demand that falls is reported sooner, since a total that
// lags behind a fall is too high and lets a runner exceed its bound.

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
#include "LibLoad/pool_aggregation.h"
#include "LibLoad/pool_load_message.h"
#include "LibMembership/application_kind.h"
#include "LibMembership/member_table.h"
#include "LibRouting/pool_load.h"
#include "absl/status/status.h"

namespace wasabi::load {

struct PoolLoadOptions {
  core::HostId self;
  core::DataCentreId data_centre;
  // The interval of reports in a small data centre.
  core::Duration min_interval = core::milliseconds(200);
  // Bytes a second that all reports of a data centre to one aggregator may
  // take, with the headers of datagrams; its answers take the same.
  double aggregator_rate = 4000;
  // A fall by this share since the last report is reported at half of the
  // interval; 1 turns that off.
  double early_fall = 0.05;
};

class PoolLoadExchange {
 public:
  using SendFunction = std::function<void(const core::HostId& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;

  PoolLoadExchange(PoolLoadOptions options, SendFunction send);

  // The demand on the runners of `pool` that this host owns now. A host that
  // owns none of them may set zeros to hear the total.
  void SetLocal(const core::PoolId& pool, const routing::PoolDemand& demand);
  // This host no longer takes part in the pool.
  void RemoveLocal(const core::PoolId& pool);

  // The demand on the whole pool: the newest total, with this host's own share
  // as it is now; only that share where no aggregator has answered lately.
  routing::PoolDemand Total(const core::PoolId& pool,
                            core::TimePoint now) const;

  // Sends what is due; to be called at least every half `min_interval`.
  void Tick(const membership::MemberTable& table, core::TimePoint now);

  // Takes a datagram from a member. Error: kMalformedMessage.
  absl::Status OnDatagram(const membership::Member& from,
                          membership::ApplicationKind kind,
                          std::string_view body,
                          core::TimePoint now);

  // The interval of reports at the present size of the data centre.
  core::Duration interval() const { return interval_; }

 private:
  struct LocalPool {
    routing::PoolDemand demand;
    // What was last sent, and when.
    routing::PoolDemand reported;
    uint32_t sequence = 0;
    std::optional<core::TimePoint> reported_at;
    // The newest total, and this host's share in it.
    routing::PoolDemand total;
    routing::PoolDemand share;
    std::optional<core::TimePoint> total_at;
  };
  // A pool for which this host is the aggregator.
  struct AggregatedPool {
    PoolAggregation sums;
    // Sums are incomplete before.
    core::TimePoint complete_at{};
    core::TimePoint next_exchange_at{};
  };

  void UpdateInterval(const membership::MemberTable& table);
  core::Duration Lifetime() const;
  bool IsReportDue(const LocalPool& pool, core::TimePoint now) const;
  void SendReports(const membership::MemberTable& table, core::TimePoint now);
  void ExchangeSums(const membership::MemberTable& table, core::TimePoint now);
  void ExpireSums(const membership::MemberTable& table, core::TimePoint now);
  AggregatedPool& Aggregated(const core::PoolId& pool, core::TimePoint now);

  absl::Status OnReport(const membership::Member& from,
                        std::string_view body,
                        core::TimePoint now);
  absl::Status OnTotals(const membership::Member& from,
                        std::string_view body,
                        core::TimePoint now);
  absl::Status OnSums(const membership::Member& from,
                      std::string_view body,
                      core::TimePoint now);
  // Sends the entries in as many datagrams as they need.
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
  uint32_t sequence_ = 0;
};

}  // namespace wasabi::load

#endif  // LIBLOAD_POOL_LOAD_EXCHANGE_H_
