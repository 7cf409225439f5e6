// Shares the loads of endpoints among the hosts of a fleet. It is decision code
// without I/O: the caller supplies the time, the peers and a function that
// sends datagrams.
//
// In a small fleet every host reports its counts to every other host. In a
// large one that traffic would make reports older than the requests that they
// count. There a host reports to the aggregators of its data centre. One of
// them acts: it exchanges sums with the aggregators of the other data centres,
// and sends the total of the fleet to the hosts of its own. The others hold the
// same reports, and the next one takes over when the acting one falls silent.

#ifndef LIBFORWARDING_LOAD_EXCHANGE_H_
#define LIBFORWARDING_LOAD_EXCHANGE_H_

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/load_report.h"
#include "LibForwarding/load_report_assembly.h"
#include "LibForwarding/load_table.h"
#include "LibForwarding/report_peers.h"
#include "LibLoad/aggregation.h"
#include "LibMembership/application_kind.h"
#include "LibMembership/member.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

struct LoadExchangeOptions {
  core::HostId self;
  // Rate at which an aggregator sends totals, in bytes per second including IP
  // and UDP headers.
  double aggregator_rate = 0;
  // Sums and totals are numbered above this, which is higher than all numbers
  // of this host's previous process.
  uint64_t first_sequence = 0;
};

class LoadExchange {
 public:
  using SendFunction = std::function<void(const std::vector<core::HostId>& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;

  // `loads` must outlive the exchange.
  LoadExchange(LoadExchangeOptions options,
               LoadTable* loads,
               SendFunction send);

  void SetPeers(ReportPeers peers);

  // Sends what is due, and removes what has expired. Must be called every few
  // ten milliseconds.
  void Tick(core::TimePoint now);

  // Handle a datagram of another host. Errors: kMalformedMessage.
  absl::Status OnReport(const membership::Member& from,
                        std::string_view body,
                        core::TimePoint now);
  absl::Status OnSums(const membership::Member& from,
                      std::string_view body,
                      core::TimePoint now);
  absl::Status OnTotal(const membership::Member& from,
                       std::string_view body,
                       core::TimePoint now);

  // Returns the age that the known load of another host may reach.
  core::Duration MaxAge() const;

 private:
  void Send(const std::vector<core::HostId>& to,
            membership::ApplicationKind kind,
            const LoadReport& report);
  // Decodes a datagram. Returns the report if all its parts have arrived.
  absl::StatusOr<std::optional<LoadReport>> Receive(
      const membership::Member& from,
      std::string_view body);
  void SendDirectReport(core::TimePoint now);
  void SendAggregatorReport(core::TimePoint now);
  // Returns whether this host sends totals: it has the reports of its data
  // centre, and is the best aggregator or has heard no better one.
  bool IsActing(core::TimePoint now) const;
  // Returns whether a sum over `hosts` hosts covers enough of this data centre.
  // That of an aggregator that has just started does not.
  bool CoversDataCentre(size_t hosts) const;
  void SendTotal(core::TimePoint now);
  core::Duration DirectInterval() const;
  core::Duration TotalInterval() const;

  const LoadExchangeOptions options_;
  LoadTable* const loads_;
  const SendFunction send_;
  ReportPeers peers_;
  // The loads of this data centre, if this host is one of its aggregators.
  load::Aggregation<EndpointCounts> aggregation_;
  // Reports of which not all parts have arrived, by sender.
  std::map<core::HostId, LoadReportAssembly> assemblies_;
  // Number of endpoints in the latest total.
  size_t endpoints_ = 0;
  core::TimePoint next_report_at_{};
  core::TimePoint next_heartbeat_at_{};
  core::TimePoint next_total_at_{};
  // When another aggregator's total last arrived.
  core::TimePoint total_heard_at_{};
  uint64_t sequence_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_LOAD_EXCHANGE_H_
