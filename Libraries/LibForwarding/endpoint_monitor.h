// Tracks, from this host's own attempts, whether each endpoint can be reached,
// whether it asked for a pause, and which share of its requests fails. Performs
// no I/O; the caller passes in the time.

#ifndef LIBFORWARDING_ENDPOINT_MONITOR_H_
#define LIBFORWARDING_ENDPOINT_MONITOR_H_

#include <cstdint>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class EndpointMonitor {
 public:
  // Records that the endpoint sent a complete answer.
  void RecordSuccess(const core::RunnerId& endpoint, core::TimePoint now);
  // Records that the endpoint returned an error of its own or a malformed
  // answer, or that it closed the connection before the answer was complete.
  void RecordFailure(const core::RunnerId& endpoint, core::TimePoint now);
  // Records that no connection to the endpoint could be established, or that an
  // open connection was lost together with the endpoint. Starts a hold-down,
  // which doubles with each repetition.
  void RecordUnreachable(const core::RunnerId& endpoint, core::TimePoint now);
  // Ends all hold-downs, because what looked like unreachable endpoints was the
  // loss of this host's own path.
  void EndHoldDowns();
  // Records that the endpoint wants no requests from this host until `until`.
  void RecordPause(const core::RunnerId& endpoint, core::TimePoint until);
  // Discards the state of an endpoint that has restarted.
  void Forget(const core::RunnerId& endpoint);

  // Returns whether the endpoint is in hold-down because it could not be
  // reached.
  bool IsDown(const core::RunnerId& endpoint, core::TimePoint now) const;
  // Returns the end of the pause that the endpoint asked for, which may have
  // passed; a default TimePoint if it never asked for one.
  core::TimePoint PausedUntil(const core::RunnerId& endpoint) const;
  // Returns the recent share of failed requests, from 0 to 1.
  double FailureShare(const core::RunnerId& endpoint,
                      core::TimePoint now) const;

 private:
  struct Record {
    double failure_share = 0;
    core::TimePoint updated_at{};
    core::TimePoint down_until{};
    core::TimePoint paused_until{};
    core::Duration hold_down{};
  };

  void Update(Record& record, double outcome, core::TimePoint now);

  absl::flat_hash_map<core::RunnerId, Record> records_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_MONITOR_H_
