// Holds the currently registered endpoints and lists them by pool. Endpoints
// that announce in an answer that they are leaving, those of evacuated data
// centres, and those whose address another endpoint has are not listed.

#ifndef LIBFORWARDING_ENDPOINT_TABLE_H_
#define LIBFORWARDING_ENDPOINT_TABLE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "LibForwarding/endpoint.h"
#include "LibForwarding/shared_addresses.h"

namespace wasabi::forwarding {

class EndpointTable {
 public:
  // Called by Put and Remove for each endpoint that has restarted or was
  // removed. `before` is the registration that is no longer valid.
  using RemovalObserver = std::function<void(const Endpoint& before)>;

  // Called once for each start of an endpoint that is known to be over: the
  // endpoint is registered with another start or address. A registration that
  // is removed doesn't tell: it lapses while the endpoint can't reach the
  // platform, and stands again later. `before` is the earlier registration.
  using EndObserver = std::function<void(const Endpoint& before)>;

  // Called by SetEvacuated for each data centre whose evacuation has ended,
  // before any request can be sent to its endpoints.
  using EvacuationEndObserver =
      std::function<void(const core::DataCentreId& data_centre)>;

  // Adds an endpoint or replaces its registration. Returns whether anything
  // changed.
  bool Put(const Endpoint& endpoint);
  // Returns whether the endpoint was in the table.
  bool Remove(const core::RunnerId& id);

  // Returns nullptr if the endpoint is unknown. The pointer is valid until the
  // table changes.
  const Endpoint* Find(const core::RunnerId& id) const;
  // Returns the endpoint whose id has this hash if it accepts new requests,
  // otherwise nullptr. The pointer is valid as for Find.
  const Endpoint* FindAvailable(uint64_t id_hash) const;
  // Records that the endpoint, in its life that began at `started_at_ms`,
  // announced that it is leaving. It does not become available again before it
  // restarts, whatever its registration says. Returns whether this is news.
  bool RecordDeparture(const core::RunnerId& id, int64_t started_at_ms);

  // Records that another endpoint answered at `address` a request to the
  // endpoint, in its life that began at `started_at_ms`. The endpoint does not
  // become available again before its registration changes or is removed.
  // Ignored if its registration is another one by now. Returns whether this is
  // news.
  bool RecordMisdirected(const core::RunnerId& id,
                         int64_t started_at_ms,
                         const core::SocketAddress& address);
  // Returns false if another endpoint is known to have the endpoint's address:
  // it has answered there, or it is available, of the same pool, and has
  // started later. Requires that `endpoint` is or was registered.
  bool HasAddress(const Endpoint& endpoint) const {
    return !misdirected_.contains(endpoint.id) && !HasSuccessor(endpoint);
  }

  // Replaces the set of evacuated data centres. Their endpoints get no new
  // requests, but stay in the table as sources of cached prompts.
  void SetEvacuated(std::set<core::DataCentreId> data_centres);
  bool IsEvacuated(const core::DataCentreId& data_centre) const {
    return evacuated_.contains(data_centre);
  }
  const std::set<core::DataCentreId>& evacuated() const { return evacuated_; }

  // Returns the endpoints of a pool that accept new requests, sorted by id. The
  // pointers are valid until the table changes.
  std::vector<const Endpoint*> Available(const core::PoolId& pool) const;
  const std::map<core::RunnerId, Endpoint>& all() const { return endpoints_; }

  void SetRemovalObserver(RemovalObserver observer) {
    observer_ = std::move(observer);
  }
  void SetEndObserver(EndObserver observer) {
    end_observer_ = std::move(observer);
  }
  void SetEvacuationEndObserver(EvacuationEndObserver observer) {
    evacuation_end_observer_ = std::move(observer);
  }

 private:
  // Reports the end of the start that `before` registers, unless `endpoint`
  // registers the same one.
  void EndUnlessSame(const Endpoint& before, const Endpoint& endpoint);
  // Keeps a registration that was removed, in place of the oldest one.
  void KeepRemoved(const Endpoint& before);
  bool IsLeaving(const Endpoint& endpoint) const;
  // Returns whether a later endpoint of the same pool has the address. One that
  // gets no requests does not count: nothing would show that its registration
  // is wrong.
  bool HasSuccessor(const Endpoint& endpoint) const;
  bool IsUsable(const Endpoint& endpoint) const {
    return !IsLeaving(endpoint) && !IsEvacuated(endpoint.data_centre) &&
           !misdirected_.contains(endpoint.id);
  }
  bool IsAvailable(const Endpoint& endpoint) const {
    return IsUsable(endpoint) && !HasSuccessor(endpoint);
  }

  std::map<core::RunnerId, Endpoint> endpoints_;
  // Start time of each endpoint that announced that it is leaving. Kept after
  // its registration is removed, since a platform that recovers from an outage
  // may list it once more.
  std::map<core::RunnerId, int64_t> departures_;
  // Registered endpoints at whose address another one has answered.
  std::set<core::RunnerId> misdirected_;
  // Registrations that were removed, and their ids, oldest first.
  std::map<core::RunnerId, Endpoint> removed_;
  std::deque<core::RunnerId> removal_order_;
  SharedAddresses addresses_;
  std::set<core::DataCentreId> evacuated_;
  RemovalObserver observer_;
  EndObserver end_observer_;
  EvacuationEndObserver evacuation_end_observer_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_TABLE_H_
