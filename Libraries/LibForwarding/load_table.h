// Counts the requests at each endpoint, as far as this host knows: exact counts
// of its own requests, and the latest reports of the other hosts.

#ifndef LIBFORWARDING_LOAD_TABLE_H_
#define LIBFORWARDING_LOAD_TABLE_H_

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

// One host's counts of its own requests. Endpoints without requests are
// omitted.
struct LoadReport {
  // Increases with every report of a host. An older report that arrives late is
  // dropped.
  uint64_t sequence = 0;
  // Key of each endpoint (LoadTable::KeyOf) and the number of requests there.
  std::vector<std::pair<uint32_t, uint32_t>> requests;

  auto operator<=>(const LoadReport&) const = default;
};

// Encodes a report with four bytes per endpoint. The encoding is compact
// because every host sends its report to every other host.
std::string EncodeLoadReport(const LoadReport& report);
// Errors: kMalformedMessage.
absl::StatusOr<LoadReport> DecodeLoadReport(std::string_view bytes);

class LoadTable {
 public:
  // Returns a short hash of an endpoint's id. If the keys of two endpoints
  // collide, each appears to have the sum of both loads.
  static uint32_t KeyOf(const core::RunnerId& endpoint);

  // Records that a request of this host starts (Start) or ends (Finish) at an
  // endpoint.
  void Start(const core::RunnerId& endpoint);
  void Finish(const core::RunnerId& endpoint);

  // Applies a report that was received from another host.
  void ApplyReport(const core::HostId& host,
                   const LoadReport& report,
                   core::TimePoint now);
  void RemoveHost(const core::HostId& host);
  // Removes the hosts whose latest report is older than `lifetime`.
  void Expire(core::Duration lifetime, core::TimePoint now);

  // Returns the number of requests of the whole fleet at an endpoint.
  uint32_t Load(const core::RunnerId& endpoint) const;
  // Returns the number of requests of this host alone.
  uint32_t OwnLoad(const core::RunnerId& endpoint) const;
  // Returns this host's own report with the next sequence number.
  LoadReport MakeReport();

 private:
  struct HostEntry {
    LoadReport report;
    core::TimePoint received_at;
  };

  void Subtract(const LoadReport& report);

  absl::flat_hash_map<uint32_t, uint32_t> own_counts_;
  absl::flat_hash_map<uint32_t, uint32_t> reported_counts_;
  absl::flat_hash_map<core::HostId, HostEntry> hosts_;
  uint64_t sequence_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_LOAD_TABLE_H_
