// Counts the requests at each endpoint, as far as this host knows: exact counts
// of its own requests, and what it knows of the other hosts. That is either the
// latest report of each of them, or the total of the fleet from an aggregator.

#ifndef LIBFORWARDING_LOAD_TABLE_H_
#define LIBFORWARDING_LOAD_TABLE_H_

#include <cstdint>
#include <optional>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/load_report.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class LoadTable {
 public:
  // Reports are numbered above `first_sequence`, which is higher than all
  // numbers of this host's previous process.
  explicit LoadTable(uint64_t first_sequence = 0) : sequence_(first_sequence) {}

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

  // Applies the total over all hosts of the fleet. It takes the place of the
  // reports of single hosts until ExpireTotal removes it. `own` are the counts
  // of this host that the total includes.
  void ApplyTotal(const EndpointCounts& total,
                  const EndpointCounts& own,
                  core::TimePoint now);
  // Removes the total if it is older than `lifetime`.
  void ExpireTotal(core::Duration lifetime, core::TimePoint now);

  // Replaces the counts of this host that are not about endpoints. They are
  // reported and summed as those of endpoints, under keys of their own.
  void SetOtherCounts(const EndpointCounts& counts);
  // Returns the sum of the counts of all other hosts under a key.
  uint32_t CountElsewhere(uint32_t key) const;
  // Returns the age of the latest counts of other hosts, or nullopt if there
  // are none.
  std::optional<core::Duration> AgeOfOthers(core::TimePoint now) const;

  // Returns the number of requests of the whole fleet at an endpoint.
  uint32_t Load(const core::RunnerId& endpoint) const;
  // Returns the number of requests of this host alone.
  uint32_t OwnLoad(const core::RunnerId& endpoint) const {
    return OwnLoad(endpoint.Hash());
  }
  // The same for the endpoint whose id has this hash.
  uint32_t OwnLoad(uint64_t id_hash) const;
  // Returns this host's own report with the next sequence number.
  LoadReport MakeReport();
  // Returns whether the own counts differ from those of the last report.
  bool HasNews() const { return own_counts_ != reported_own_counts_; }
  const EndpointCounts& own_counts() const { return own_counts_; }
  // Returns the counts of the last report.
  const EndpointCounts& reported_own_counts() const {
    return reported_own_counts_;
  }

 private:
  struct HostEntry {
    LoadReport report;
    core::TimePoint received_at;
  };

  struct FleetTotal {
    EndpointCounts counts;
    // This host's share of the total.
    EndpointCounts own_counts;
    core::TimePoint received_at;
  };

  EndpointCounts own_counts_;
  // The part of own_counts_ that is not about endpoints.
  EndpointCounts other_counts_;
  EndpointCounts reported_own_counts_;
  EndpointCounts reported_counts_;
  absl::flat_hash_map<core::HostId, HostEntry> hosts_;
  std::optional<FleetTotal> total_;
  uint64_t sequence_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_LOAD_TABLE_H_
