// Aggregates the demand on one pool: the latest demand reported by each owner
// in the aggregator's data centre, and the latest sum of every other data
// centre.
//
// If two hosts both believe that they own a runner, both reports are counted.
// Consumers use the mean per runner, a quotient of two sums, in which both the
// demand and the runner are counted twice. The mean is slightly off for a few
// seconds but does not double.

#ifndef LIBLOAD_POOL_AGGREGATION_H_
#define LIBLOAD_POOL_AGGREGATION_H_

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibRouting/pool_load.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::load {

class PoolAggregation {
 public:
  // Records the demand reported by `owner`, replacing its previous report.
  void SetOwner(const core::HostId& owner,
                const routing::PoolDemand& demand,
                core::TimePoint now);

  // Records the sum of another data centre, replacing its previous sum.
  void SetDataCentre(const core::DataCentreId& data_centre,
                     const routing::PoolDemand& demand,
                     core::TimePoint now);

  // Removes entries that were received more than `lifetime` ago.
  void Expire(core::Duration lifetime, core::TimePoint now);

  void RemoveOwner(const core::HostId& owner) { owners_.erase(owner); }

  // Removes the owners for which `is_gone` returns true.
  template <typename Predicate>
  void RemoveOwnersIf(Predicate is_gone) {
    absl::erase_if(owners_, [&](const auto& it) { return is_gone(it.first); });
  }

  // Returns the sum over the owners in this data centre.
  routing::PoolDemand Local() const;
  // Returns the sum over all data centres.
  routing::PoolDemand Total() const;

  bool empty() const { return owners_.empty() && data_centres_.empty(); }
  size_t owner_count() const { return owners_.size(); }

 private:
  struct Entry {
    routing::PoolDemand demand;
    core::TimePoint received_at{};
  };

  absl::flat_hash_map<core::HostId, Entry> owners_;
  absl::flat_hash_map<core::DataCentreId, Entry> data_centres_;
};

}  // namespace wasabi::load

#endif  // LIBLOAD_POOL_AGGREGATION_H_
