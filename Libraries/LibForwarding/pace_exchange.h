// Shares the pace of endpoints that differ from usual among the hosts of a
// fleet, as changes: no host relays enough streams of each endpoint to know by
// itself. A host that has just heard what it observes stays silent. Decision
// code without I/O: the caller supplies the time and a function that sends
// datagrams.

#ifndef LIBFORWARDING_PACE_EXCHANGE_H_
#define LIBFORWARDING_PACE_EXCHANGE_H_

#include <functional>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/endpoint_pace.h"
#include "LibForwarding/report_peers.h"
#include "LibMembership/application_kind.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

class PaceExchange {
 public:
  using SendFunction = std::function<void(const std::vector<core::HostId>& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;

  // `paces` must outlive the exchange.
  PaceExchange(core::HostId self, EndpointPace* paces, SendFunction send);

  void SetPeers(ReportPeers peers) { peers_ = std::move(peers); }

  // Sends what is due. Must be called every few ten milliseconds.
  void Tick(core::TimePoint now);
  // Handles a datagram of another host. Errors: kMalformedMessage.
  absl::Status OnReports(const core::HostId& from,
                         std::string_view body,
                         core::TimePoint now);

 private:
  // A report of another host that this aggregator is about to pass on.
  struct Relayed {
    uint32_t endpoint = 0;
    core::TimePoint due_at;
    // It comes from another data centre, whose aggregator has told those of all
    // others.
    bool is_remote = false;
  };

  // Returns the reports of `relayed_` that are due, and removes them.
  void TakeDue(core::TimePoint now,
               std::vector<PaceReport>* near,
               std::vector<PaceReport>* everywhere);
  void Send(const std::vector<core::HostId>& to,
            const std::vector<PaceReport>& reports);

  const core::HostId self_;
  EndpointPace* const paces_;
  const SendFunction send_;
  ReportPeers peers_;
  std::vector<Relayed> relayed_;
  core::TimePoint next_relay_at_{};
  core::TimePoint next_expiry_at_{};
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PACE_EXCHANGE_H_
