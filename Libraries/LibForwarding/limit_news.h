// What a host knows of the limits that endpoints announce, and its exchange
// with the other hosts: an endpoint need not tell each of hundreds of hosts.
// Decision code without I/O: the caller supplies the time and a function that
// sends datagrams.

#ifndef LIBFORWARDING_LIMIT_NEWS_H_
#define LIBFORWARDING_LIMIT_NEWS_H_

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/limit_table.h"
#include "LibForwarding/report_peers.h"
#include "LibMembership/application_kind.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

class LimitNews {
 public:
  using SendFunction = std::function<void(const std::vector<core::HostId>& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;

  // The reports are datagrams of `kind`.
  LimitNews(core::HostId self,
            membership::ApplicationKind kind,
            SendFunction send);

  void SetPeers(ReportPeers peers) { peers_ = std::move(peers); }

  // See LimitTable. What is news is reported.
  void Record(uint64_t endpoint,
              std::optional<double> limit,
              core::TimePoint now);
  void Merge(const LimitReport& report, core::TimePoint now) {
    table_.Merge(report, now);
  }
  void Forget(uint64_t endpoint) { table_.Forget(endpoint); }
  std::optional<double> Find(uint64_t endpoint) const {
    return table_.Find(endpoint);
  }
  LimitReport ReportOf(uint64_t endpoint, core::TimePoint now) const {
    return table_.ReportOf(endpoint, now);
  }

  // Sends all limits in force to `to`, which has just started.
  void SendAll(const core::HostId& to, core::TimePoint now);

  // Sends what is due.
  void Tick(core::TimePoint now);
  // Handles a datagram of another host. Errors: kMalformedMessage.
  absl::Status OnReports(std::string_view body, core::TimePoint now);

 private:
  // Reports of changed limits, sent several times because datagrams get lost.
  struct PendingReport {
    uint64_t endpoint = 0;
    int remaining_sends = 0;
  };

  void QueueReport(uint64_t endpoint);
  void SendReports(core::TimePoint now);
  // Sends `reports`, in as many datagrams as they need.
  void Send(const std::vector<core::HostId>& to,
            const std::vector<LimitReport>& reports);

  const core::HostId self_;
  const membership::ApplicationKind kind_;
  const SendFunction send_;
  ReportPeers peers_;
  LimitTable table_;
  std::vector<PendingReport> pending_;
  core::TimePoint next_reports_at_{};
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_LIMIT_NEWS_H_
