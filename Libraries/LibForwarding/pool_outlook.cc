#include "LibForwarding/pool_outlook.h"

#include <algorithm>

#include "LibForwarding/waiting_counts.h"

namespace wasabi::forwarding {

routing::PoolOutlook OutlookOf(const ForwardContext& context,
                               const core::PoolId& pool,
                               core::TimePoint now) {
  const auto age = context.loads->AgeOfOthers(now);
  const auto hosts =
      static_cast<uint32_t>(std::max<size_t>(1, context.host_count()));
  // Reports that are older than a request takes say nothing of its load.
  const bool knows_others =
      hosts > 1 && age &&
      context.service_times.AreReportsUseful(pool, context.max_load_age(), now);
  routing::PoolOutlook outlook;
  for (const Endpoint* it : context.endpoints->Available(pool)) {
    if (context.monitor->IsDown(it->id, now)) {
      continue;
    }
    const uint32_t load = knows_others ? context.loads->Load(it->id)
                                       : context.loads->OwnLoad(it->id);
    ++outlook.running.runners;
    outlook.running_here += context.loads->OwnLoad(it->id);
    outlook.running.requests += std::min(load, it->slots);
    outlook.places += it->slots;
  }
  outlook.service_time = context.service_times.Mean(pool, now);
  if (!knows_others) {
    outlook.places /= hosts;
    return outlook;
  }
  outlook.hosts = hosts;
  outlook.age = *age;
  outlook.waiting_elsewhere = WaitingElsewhere(*context.loads, pool);
  return outlook;
}

}  // namespace wasabi::forwarding
