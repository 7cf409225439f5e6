#include "LibLoad/pool_aggregation.h"

namespace wasabi::load {

void PoolAggregation::SetOwner(const core::HostId& owner,
                               const routing::PoolDemand& demand,
                               core::TimePoint now) {
  owners_[owner] = {demand, now};
}

void PoolAggregation::SetDataCentre(const core::DataCentreId& data_centre,
                                    const routing::PoolDemand& demand,
                                    core::TimePoint now) {
  data_centres_[data_centre] = {demand, now};
}

void PoolAggregation::Expire(core::Duration lifetime, core::TimePoint now) {
  const auto is_expired = [&](const auto& it) {
    return now - it.second.received_at > lifetime;
  };
  absl::erase_if(owners_, is_expired);
  absl::erase_if(data_centres_, is_expired);
}

routing::PoolDemand PoolAggregation::Local() const {
  routing::PoolDemand sum;
  for (const auto& [owner, entry] : owners_) {
    sum = sum + entry.demand;
  }
  return sum;
}

routing::PoolDemand PoolAggregation::Total() const {
  routing::PoolDemand sum = Local();
  for (const auto& [data_centre, entry] : data_centres_) {
    sum = sum + entry.demand;
  }
  return sum;
}

}  // namespace wasabi::load
