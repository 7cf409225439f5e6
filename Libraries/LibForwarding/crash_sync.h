// Repairs what a host knows of the suspects of crashes if it missed the reports
// of others, because it has just started or was cut off. Every host sends the
// suspects that are not cleared to a random host at intervals and gets that
// host's in return. It is decision code without I/O: the caller supplies the
// time, the hosts and a function that sends datagrams.

#ifndef LIBFORWARDING_CRASH_SYNC_H_
#define LIBFORWARDING_CRASH_SYNC_H_

#include <functional>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibCore/random_source.h"
#include "LibCore/time.h"
#include "LibForwarding/crash_report.h"
#include "LibForwarding/crash_suspects.h"
#include "LibMembership/application_kind.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

// A datagram of the exchange.
struct CrashSyncMessage {
  // The receiver has to answer with what it knows.
  bool is_question = false;
  std::vector<CrashReport> reports;

  MSGPACK_DEFINE(is_question, reports);
};

class CrashSync {
 public:
  using SendFunction = std::function<void(const std::vector<core::HostId>& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;

  // `suspects` must outlive this object.
  CrashSync(CrashSuspects* suspects, uint64_t random_seed, SendFunction send);

  // Sets the other hosts of the fleet.
  void SetHosts(std::vector<core::HostId> hosts) { hosts_ = std::move(hosts); }

  // Sends what is due. Must be called every few ten milliseconds.
  void Tick(core::TimePoint now);

  // Handles a datagram of another host. Error: kMalformedMessage.
  absl::Status OnMessage(const core::HostId& from,
                         std::string_view body,
                         core::TimePoint now);

 private:
  core::Duration Interval(core::TimePoint now);
  // Sends suspects, in as many datagrams as they need. A question is sent even
  // if there are none.
  void Send(const core::HostId& to, bool is_question, core::TimePoint now);

  CrashSuspects* const suspects_;
  core::RandomSource random_;
  const SendFunction send_;
  std::vector<core::HostId> hosts_;
  core::TimePoint next_question_at_{};
  // Questions that this host still asks at the pace of a host that has just
  // started.
  int early_questions_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_CRASH_SYNC_H_
