// The rate limits that endpoints announce, as far as this host knows: from the
// answers that it relayed, and from other hosts. The latest announcement
// counts. Performs no I/O; the caller passes in the time.

#ifndef LIBFORWARDING_LIMIT_TABLE_H_
#define LIBFORWARDING_LIMIT_TABLE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "LibCore/time.h"
#include "LibForwarding/endpoint_limit.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class LimitTable {
 public:
  // Records the limit in an answer that arrived at `now`: requests per second,
  // or nullopt if there is none. Returns whether other hosts should hear of it.
  bool Record(uint64_t endpoint,
              std::optional<double> per_second,
              core::TimePoint now);
  // Merges the report of another host. Returns whether it changed anything.
  bool Merge(const LimitReport& report, core::TimePoint now);
  void Forget(uint64_t endpoint) { limits_.erase(endpoint); }
  // Forgets limits that ended a while ago.
  void Expire(core::TimePoint now);

  // Returns the requests per second; nullopt if there is no limit.
  std::optional<double> Find(uint64_t endpoint) const;
  // Returns what is known of an endpoint, as a message.
  LimitReport ReportOf(uint64_t endpoint, core::TimePoint now) const;
  // Returns all limits in force.
  std::vector<LimitReport> InForce(core::TimePoint now) const;

 private:
  struct Limit {
    // 0 if the limit has ended.
    double per_second = 0;
    core::TimePoint announced_at;
  };

  absl::flat_hash_map<uint64_t, Limit> limits_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_LIMIT_TABLE_H_
