// Reports the origins of the streams that this host relays to the recorder of
// its group of hosts, while their pool has more than one version. It is
// decision code without I/O.
//
// Load pattern: a release. The streams in flight when a second version appears
// are reported as well. A recorder that does not confirm within 0.3 s is
// replaced by the next one of the group, so that its death loses nothing.

#ifndef LIBFORWARDING_ORIGIN_REPORTER_H_
#define LIBFORWARDING_ORIGIN_REPORTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/origin_history.h"
#include "LibForwarding/origin_recorder.h"
#include "LibForwarding/stream_origin.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

class OriginReporter {
 public:
  // `recorder` records what this host has to write itself. It must outlive this
  // object. Reports are numbered from `first_sequence` on, which differs from
  // those of this host's previous process.
  OriginReporter(core::HostId self,
                 OriginRecorder::SendFunction send,
                 OriginRecorder* recorder,
                 uint64_t first_sequence);

  // Sets the running hosts of the fleet. They may include this host.
  void SetHosts(const std::vector<core::HostId>& hosts);

  // Records that a stream began at this host.
  void OnStreamBegun(uint64_t pool,
                     StreamKey stream,
                     StreamOrigin origin,
                     core::TimePoint now);
  // Sends what is due. Must be called every few ten milliseconds.
  void Tick(const OriginHistory& history, core::TimePoint now);
  // Handles a recorder's confirmation. Error: kMalformedMessage.
  absl::Status OnRecorded(std::string_view body);

  // Returns the number of recorders in a fleet of this many hosts.
  static size_t GroupsOf(size_t hosts);

 private:
  struct BegunStream {
    StreamKey stream;
    StreamOrigin origin;
    core::TimePoint at;
  };
  // A report that no recorder has confirmed yet.
  struct Report {
    std::vector<OriginStreams> streams;
    size_t sends = 0;
    core::TimePoint next_send_at{};
  };

  void QueueReports(const OriginHistory& history, core::TimePoint now);
  void SendReports(core::TimePoint now);

  const core::HostId self_;
  const OriginRecorder::SendFunction send_;
  OriginRecorder* const recorder_;
  // The recorders of this host's group, most preferred first.
  std::vector<core::HostId> recorders_;
  // Streams that were not reported, oldest first, by the hash of their pool.
  std::map<uint64_t, std::deque<BegunStream>> unreported_;
  std::map<uint64_t, Report> reports_;
  core::Duration report_interval_{};
  core::TimePoint next_reports_at_{};
  uint64_t next_sequence_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ORIGIN_REPORTER_H_
