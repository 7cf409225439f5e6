// Determines for how long endpoints stay cold, from their registrations, their
// answers, their starts and the end of evacuations. Handles endpoints that join
// or return while traffic runs. Performs no I/O; the caller passes in the time.

#ifndef LIBFORWARDING_COLD_ENDPOINTS_H_
#define LIBFORWARDING_COLD_ENDPOINTS_H_

#include <cstdint>
#include <functional>
#include <map>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/endpoint_table.h"
#include "LibForwarding/registration.h"
#include "LibForwarding/route_table.h"

namespace wasabi::forwarding {

class ColdEndpoints {
 public:
  // Told of every endpoint that is cold, possibly again while it is.
  using Sink = std::function<void(const core::RunnerId& endpoint,
                                  double per_second,
                                  core::Duration left,
                                  core::TimePoint now)>;

  // `endpoints` must outlive this object.
  explicit ColdEndpoints(const EndpointTable* endpoints)
      : endpoints_(endpoints) {}

  void SetSink(Sink sink) { sink_ = std::move(sink); }
  // Sets the configuration, which says how long the endpoints of a pool are
  // cold. Until then no endpoint counts as cold.
  void SetPools(RouteTableView table, core::TimePoint now);

  // Records a registration that was read. An endpoint that is read for the
  // first time, or that has started anew, is cold for its pool's warm-up time,
  // unless the registration belongs to the first snapshot of this host: then it
  // is cold only for the time that it states. Returns whether it is news that
  // the endpoint is cold.
  bool RecordRegistration(const Registration& registration,
                          bool is_first_snapshot,
                          core::TimePoint now);
  // Records that an endpoint said in an answer for how long it stays cold.
  void RecordAnswer(const Endpoint& endpoint,
                    core::Duration left,
                    core::TimePoint now);
  // Marks the endpoints of a data centre as cold for the warm-up time of their
  // pools, as at the end of an evacuation. Returns their number.
  size_t MarkCold(const core::DataCentreId& data_centre, core::TimePoint now);

 private:
  struct Entry {
    core::PoolId pool;
    int64_t started_at_ms = 0;
    // The latest start that this host noticed, if it did, and the end of the
    // longest time that the endpoint stated.
    core::TimePoint noticed_start{};
    core::TimePoint stated_until{};
    // The end that was last returned as news.
    core::TimePoint reported_until{};
  };

  // Returns the pool if its endpoints may be cold, otherwise nullptr.
  const Pool* ColdPool(const core::PoolId& pool) const;
  // Passes the state of an endpoint on if it is cold. Returns whether it is
  // news.
  bool Update(const core::RunnerId& id, Entry& entry, core::TimePoint now);
  void Prune();

  const EndpointTable* const endpoints_;
  Sink sink_;
  RouteTableView table_;
  // Kept after a registration is removed, because a platform that recovers from
  // an outage may list endpoints again that have run all the time.
  std::map<core::RunnerId, Entry> entries_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_COLD_ENDPOINTS_H_
