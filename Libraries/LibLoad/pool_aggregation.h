// The sums that an aggregator keeps for one pool: the latest demand of each
// owner in its data centre, and the latest sum of each other data centre.
//
// Two hosts that both think they own a runner are both counted, with their
// runners. Consumers use the mean per runner, a quotient of two such sums, so
// that a runner counted twice shifts the mean a little for some seconds and
// doubles nothing.

#ifndef LIBLOAD_POOL_AGGREGATION_H_
#define LIBLOAD_POOL_AGGREGATION_H_

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibRouting/pool_load.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::load {

class PoolAggregation {
 public:
  // Notes what `owner` reports; replaces what it reported before.
  void SetOwner(const core::HostId& owner,
                const routing::PoolDemand& demand,
                core::TimePoint now);

  // Notes the sum of another data centre.
  void SetDataCentre(const core::DataCentreId& data_centre,
                     const routing::PoolDemand& demand,
                     core::TimePoint now);

  // Drops what is older than `lifetime`.
  void Expire(core::Duration lifetime, core::TimePoint now);

  void RemoveOwner(const core::HostId& owner) { owners_.erase(owner); }

  // Calls `is_gone` for every owner and drops those for which it holds.
  template <typename Predicate>
  void RemoveOwnersIf(Predicate is_gone) {
    absl::erase_if(owners_, [&](const auto& it) { return is_gone(it.first); });
  }

  // The sum over the owners of this data centre.
  routing::PoolDemand Local() const;
  // The sum over all data centres.
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
