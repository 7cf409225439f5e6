// Shares the pace of endpoints that differ from usual among the hosts of a
// fleet, as changes: no host relays enough streams of each endpoint to know by
// itself. A host that has just heard what it observes stays silent. Aggregators
// gather the reports and ask other hosts of their data centre to spread them.
// Decision code without I/O: the caller supplies the time and a function that
// sends datagrams.

#ifndef LIBFORWARDING_PACE_EXCHANGE_H_
#define LIBFORWARDING_PACE_EXCHANGE_H_

#include <functional>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/endpoint_pace.h"
#include "LibForwarding/pace_relays.h"
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

  void SetPeers(ReportPeers peers);

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
    bool is_far = false;
  };

  // Plans to pass on what is known of an endpoint.
  void Plan(uint32_t endpoint, bool is_far, core::TimePoint now);
  // Returns the reports of `relayed_` that are due, and removes them.
  void TakeDue(core::TimePoint now,
               std::vector<PaceReport>* near,
               std::vector<PaceReport>* everywhere);
  // Returns how many aggregators of this data centre pass reports of an
  // endpoint on before this one: each is the first for a part of them.
  size_t TurnFor(uint32_t endpoint) const;
  // Passes on what is due, as an aggregator.
  void PassOn(core::TimePoint now);
  // Has a relay send reports to the whole data centre, or sends them itself if
  // there is none.
  void SpreadNear(const std::vector<PaceReport>& reports, core::TimePoint now);
  // Sends what relays did not spread in time.
  void SpreadOverdue(core::TimePoint now);
  // Notes what a message of another host says about spreading. Returns whether
  // its reports have reached this data centre.
  bool NoteSpreading(const core::HostId& from,
                     const PaceReports& reports,
                     PacePurpose purpose);
  void Send(const std::vector<core::HostId>& to,
            const std::vector<PaceReport>& reports,
            PacePurpose purpose);

  const core::HostId self_;
  EndpointPace* const paces_;
  const SendFunction send_;
  ReportPeers peers_;
  std::vector<Relayed> relayed_;
  PaceRelays relays_;
  core::TimePoint next_relay_at_{};
  core::TimePoint next_expiry_at_{};
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PACE_EXCHANGE_H_
