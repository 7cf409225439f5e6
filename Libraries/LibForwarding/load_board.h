// How many requests each endpoint is working on, as far as this host knows: its
// own exact counts and the latest reports of the other hosts.

#ifndef LIBFORWARDING_LOAD_BOARD_H_
#define LIBFORWARDING_LOAD_BOARD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"

namespace wasabi::forwarding {

// One host's own counts, without endpoints at which it has no request.
struct LoadReport {
  // Grows with every report of a host; an older one that arrives late is
  // dropped.
  uint64_t sequence = 0;
  // Key of an endpoint (LoadBoard::KeyOf), and its requests.
  std::vector<std::pair<uint32_t, uint32_t>> requests;

  auto operator<=>(const LoadReport&) const = default;
};

// Four bytes an endpoint: every host sends its report to every other one.
std::string EncodeLoadReport(const LoadReport& report);
// Error: kMalformedMessage.
absl::StatusOr<LoadReport> DecodeLoadReport(std::string_view bytes);

class LoadBoard {
 public:
  // A short hash of an endpoint's id. Two endpoints that share one are taken to
  // have the sum of their loads.
  static uint32_t KeyOf(const core::RunnerId& endpoint);

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
  // Requests of this host alone.
  uint32_t OwnLoad(const core::RunnerId& endpoint) const;
  // This host's own report.
  LoadReport MakeReport();

 private:
  struct HostEntry {
    LoadReport report;
    core::TimePoint received_at;
  };

  void Subtract(const LoadReport& report);

  absl::flat_hash_map<uint32_t, uint32_t> own_;
  absl::flat_hash_map<uint32_t, uint32_t> others_;
  absl::flat_hash_map<core::HostId, HostEntry> hosts_;
  uint64_t sequence_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_LOAD_BOARD_H_
