// Aggregates the load that the hosts of one data centre report, and the sums of
// the other data centres. Keeps the latest report of every host and the latest
// sum of every other data centre, so that a report never counts twice.
//
// If two hosts both believe that they own a runner, both reports are counted.
// Consumers use the mean per runner, a quotient of two sums, in which both the
// demand and the runner are counted twice. The mean is slightly off for a few
// seconds but does not double.

#ifndef LIBLOAD_AGGREGATION_H_
#define LIBLOAD_AGGREGATION_H_

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::load {

// `Load` is a value with the operator +; a default one is zero.
template <typename Load>
class Aggregation {
 public:
  // Records the load reported by `host`, replacing its previous report.
  void SetHost(const core::HostId& host,
               const Load& load,
               core::TimePoint now) {
    hosts_[host] = {load, now};
  }

  // Records the sum of another data centre, replacing its previous sum.
  void SetDataCentre(const core::DataCentreId& data_centre,
                     const Load& load,
                     core::TimePoint now) {
    data_centres_[data_centre] = {load, now};
  }

  // Removes entries that were received more than `lifetime` ago.
  void Expire(core::Duration lifetime, core::TimePoint now) {
    const auto is_expired = [&](const auto& it) {
      return now - it.second.received_at > lifetime;
    };
    absl::erase_if(hosts_, is_expired);
    absl::erase_if(data_centres_, is_expired);
  }

  // Removes the hosts for which `is_gone` returns true.
  template <typename Predicate>
  void RemoveHostsIf(Predicate is_gone) {
    absl::erase_if(hosts_, [&](const auto& it) { return is_gone(it.first); });
  }

  // Returns the sum over the hosts of this data centre.
  Load Local() const {
    Load sum;
    for (const auto& [host, entry] : hosts_) {
      sum = sum + entry.load;
    }
    return sum;
  }

  // Returns the sum over all data centres.
  Load Total() const {
    Load sum = Local();
    for (const auto& [data_centre, entry] : data_centres_) {
      sum = sum + entry.load;
    }
    return sum;
  }

  bool empty() const { return hosts_.empty() && data_centres_.empty(); }
  size_t host_count() const { return hosts_.size(); }

 private:
  struct Entry {
    Load load;
    core::TimePoint received_at{};
  };

  absl::flat_hash_map<core::HostId, Entry> hosts_;
  absl::flat_hash_map<core::DataCentreId, Entry> data_centres_;
};

}  // namespace wasabi::load

#endif  // LIBLOAD_AGGREGATION_H_
