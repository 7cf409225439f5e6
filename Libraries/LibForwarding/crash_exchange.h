// Shares among the hosts of a fleet which requests were in flight at endpoints
// that crashed. It is decision code without I/O: the caller supplies the time,
// the peers and a function that sends datagrams.
//
// When many endpoints crash, every host that had requests there reports each of
// them. In a large fleet these reports go to aggregators, which merge them and
// pass on only what is new. Hosts that miss reports are caught up by CrashSync.

#ifndef LIBFORWARDING_CRASH_EXCHANGE_H_
#define LIBFORWARDING_CRASH_EXCHANGE_H_

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/crash_suspects.h"
#include "LibForwarding/report_peers.h"
#include "LibMembership/application_kind.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

class CrashExchange {
 public:
  using SendFunction = std::function<void(const std::vector<core::HostId>& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;

  // `suspects` must outlive the exchange.
  CrashExchange(core::HostId self, CrashSuspects* suspects, SendFunction send);

  void SetPeers(ReportPeers peers) { peers_ = std::move(peers); }

  // Sends what is due. Must be called every few ten milliseconds.
  void Tick(core::TimePoint now);

  // Handles the report of another host. Errors: kMalformedMessage.
  absl::Status OnReport(std::string_view body, core::TimePoint now);

 private:
  // An encoded report. It is sent several times because datagrams can get lost.
  struct Report {
    std::string body;
    int remaining_sends = 0;
    core::TimePoint next_send_at{};
  };

  // Turns what this host has found out into reports.
  void QueueChanges(core::TimePoint now);

  const core::HostId self_;
  CrashSuspects* const suspects_;
  const SendFunction send_;
  ReportPeers peers_;
  // Reports with sends remaining, oldest first.
  std::deque<Report> pending_;
  core::TimePoint next_batch_at_{};
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_CRASH_EXCHANGE_H_
