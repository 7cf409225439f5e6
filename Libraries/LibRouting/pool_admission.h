// Decides which requests wait for a place in a pool whose demand exceeds its
// places, in which order, and when refused callers may come back.
//
// It handles these loads: a pool loses many endpoints at once, or all hosts
// restart, and demand exceeds the remaining places for some seconds; callers
// that are refused repeat at once; one organisation sends several times its
// usual traffic. Deterministic: it uses no clock or sockets.

#ifndef LIBROUTING_POOL_ADMISSION_H_
#define LIBROUTING_POOL_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>

#include "LibCore/identifier.h"
#include "LibCore/random_source.h"
#include "LibCore/time.h"
#include "LibRouting/decaying_demand.h"
#include "LibRouting/fair_queue.h"
#include "LibRouting/pool_load.h"
#include "LibRouting/work_item.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::routing {

// What a host knows of a pool. Without counts of the fleet, the host's own
// share of the places, and its own requests.
struct PoolOutlook {
  // Endpoints that accept requests, and the requests at them.
  PoolDemand running;
  // Requests that these endpoints run at once.
  double places = 0;
  // Requests of this host at them.
  double running_here = 0;
  // Mean time that a request takes at an endpoint; nullopt if unknown.
  std::optional<core::Duration> service_time;
  // Requests that wait on other hosts.
  std::map<Priority, double> waiting_elsewhere;
  // Number of hosts that share the places.
  uint32_t hosts = 1;
  // Age of the counts of other hosts.
  core::Duration age = core::Duration::zero();

  friend bool operator==(const PoolOutlook&, const PoolOutlook&) = default;
};

class PoolAdmission {
 public:
  // Counts a request that arrives, and returns the weight of its organisation:
  // the more it usually sends, the larger is its share.
  double RecordArrival(const WorkItem& item, core::TimePoint now);

  // Returns the time until `item` is expected to start if it is queued now.
  // Zero while places are free and no request is ahead. Returns nullopt if
  // nothing is known of the pool's service times.
  std::optional<core::Duration> ExpectedStart(const WorkItem& item,
                                              const PoolOutlook& pool,
                                              core::TimePoint now) const;

  // The same for a request that is queued already.
  std::optional<core::Duration> ExpectedStart(const core::RequestId& request,
                                              const PoolOutlook& pool,
                                              core::TimePoint now) const;

  // Returns the delay after which the caller of the refused `item` may come
  // back: a place in the order in which the pool is expected to have room. The
  // caller has `remaining` time left, of which the delay takes at most a third.
  core::Duration TakeReturnTime(const WorkItem& item,
                                const PoolOutlook& pool,
                                core::Duration remaining,
                                core::TimePoint now,
                                core::RandomSource& random);

  // Number of organisations whose usual demand is known.
  size_t known_organisations() const { return usual_.size(); }

  FairQueue& queue() { return queue_; }
  const FairQueue& queue() const { return queue_; }

 private:
  struct UsualDemand {
    DecayingDemand requests;
    core::TimePoint last_at;
  };

  // Requests per second that are completed and that are left for a priority by
  // more urgent arrivals; zero if unknown.
  struct Rates {
    double fleet = 0;
    // Completed by this host.
    double host = 0;
  };

  Rates RatesFor(Priority priority,
                 const PoolOutlook& pool,
                 core::TimePoint now) const;
  // Returns the number of requests of the fleet that start before one of this
  // priority, before which `here` of this host's queue start.
  double Ahead(Priority priority, size_t here, const PoolOutlook& pool) const;
  std::optional<core::Duration> StartAfter(size_t here,
                                           Priority priority,
                                           const PoolOutlook& pool,
                                           core::TimePoint now) const;
  void ForgetOldest();

  FairQueue queue_;
  std::map<Priority, DecayingDemand> arrivals_;
  absl::flat_hash_map<core::OrganisationId, UsualDemand> usual_;
  // The next free place in the order of return.
  std::map<Priority, core::TimePoint> next_return_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_POOL_ADMISSION_H_
