// How many requests each endpoint is working on, as far as this host knows: its
// own exact counts and the latest reports of the other hosts.

#ifndef LIBFORWARDING_LOAD_BOARD_H_
#define LIBFORWARDING_LOAD_BOARD_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

// One host's own counts, without endpoints at which it has no request.
struct LoadReport {
  // Grows with every report of a host; an older one that arrives late is
  // dropped.
  uint64_t sequence = 0;
  // Stable hash of the endpoint's id, and its requests.
  std::vector<std::pair<uint64_t, uint32_t>> requests;

  MSGPACK_DEFINE(sequence, requests);
};

class LoadBoard {
 public:
  // A request of this host starts or ends at an endpoint.
  void Start(const core::RunnerId& endpoint);
  void Finish(const core::RunnerId& endpoint);

  // Takes the report of another host.
  void ApplyReport(const core::HostId& host,
                   const LoadReport& report,
                   core::TimePoint now);
  void ForgetHost(const core::HostId& host);
  // Forgets the hosts whose latest report is older than `lifetime`.
  void Expire(core::Duration lifetime, core::TimePoint now);

  // Requests of the whole fleet at an endpoint.
  uint32_t Load(const core::RunnerId& endpoint) const;
  // This host's own report.
  LoadReport MakeReport();

 private:
  struct HostEntry {
    LoadReport report;
    core::TimePoint received_at;
  };

  void Subtract(const LoadReport& report);

  absl::flat_hash_map<uint64_t, uint32_t> own_;
  absl::flat_hash_map<uint64_t, uint32_t> others_;
  absl::flat_hash_map<core::HostId, HostEntry> hosts_;
  uint64_t sequence_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_LOAD_BOARD_H_
