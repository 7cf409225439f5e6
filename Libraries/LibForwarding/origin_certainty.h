// Tells whether the registration that this host has read still describes the
// process that serves at an endpoint's address. It is decision code without
// I/O: the caller supplies the time and says what connections and reads show.
//
// Load pattern: while the platform's store is away or this host's view of it
// lags, endpoints crash and start again under their ids and addresses with
// another software version, and callers resume streams. A connection is open
// to one process only. After the connections to an address have broken, the
// registration counts again once it was written anew after a new connection
// was established. That it was read then is not enough: a process may serve
// long before it is registered. It counts at once if the endpoint was heard so
// shortly before the new connection that it can't have started in between.

#ifndef LIBFORWARDING_ORIGIN_CERTAINTY_H_
#define LIBFORWARDING_ORIGIN_CERTAINTY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "LibCore/socket_address.h"
#include "LibCore/time.h"
#include "LibForwarding/endpoint.h"
#include "LibForwarding/endpoint_table.h"
#include "LibPlatform/keyed_topic_client.h"

namespace wasabi::forwarding {

// A place in the log of registrations.
struct LogPosition {
  platform::LogEpoch epoch = 0;
  platform::Offset offset = 0;

  auto operator<=>(const LogPosition&) const = default;
};

class OriginCertainty {
 public:
  // Receives whether the connections to the endpoint have broken since the call
  // of WhenCertain. If not, the registration that this host now holds describes
  // the process that served then. If they have, it does so only if it has not
  // changed.
  using Callback = std::function<void(bool has_broken)>;

  // Records that the connections to `address` broke or that one was refused, so
  // that the endpoint may have started anew.
  void RecordBreak(const core::SocketAddress& address, core::TimePoint now);
  // Records that a new connection to `address` was established.
  void RecordConnected(const core::SocketAddress& address, core::TimePoint now);
  // Records that this host has itself read all registrations that the platform
  // had acknowledged before `started_at`, and holds them, except those of the
  // addresses in `outdated`. The log ended at `end` or before.
  void RecordRead(core::TimePoint started_at,
                  LogPosition end,
                  const std::set<core::SocketAddress>& outdated = {});
  // Records that RecordRegistration was told of all registrations from `from`
  // up to `to`.
  void RecordScan(LogPosition from, LogPosition to);
  // Records that `endpoint` is registered by the record at `position`. Returns
  // whether this may end a doubt, so that other hosts may need the record too.
  bool RecordRegistration(const Endpoint& endpoint, LogPosition position);
  // Records that bytes of the endpoint at `address` have arrived.
  void RecordHeard(const core::SocketAddress& address, core::TimePoint now);
  // Records that the process runs. Must be called every few ten milliseconds:
  // while it stands still, what arrives is read late.
  void RecordTurn(core::TimePoint now);
  // Drops the doubts about the endpoints that are certain now, and calls back
  // those that waited for them.
  void Settle(const EndpointTable& endpoints);

  // Returns whether nothing says that the process at the address of `endpoint`
  // has another start than `endpoint`, which is its registration.
  bool IsCertain(const Endpoint& endpoint) const;
  // Returns whether the registrations were read shortly before `now`, and after
  // the latest break of `address`. That is what a host can know that has lost
  // its own path to the endpoints and sends through another host.
  bool IsReadLately(const core::SocketAddress& address,
                    core::TimePoint now) const;
  // Returns whether a new connection to `address` is established, or not needed
  // for certainty.
  bool IsConnected(const core::SocketAddress& address) const;

  // Calls `callback` once the endpoint at `address` is certain, unless that
  // takes longer than a stream lives.
  void WhenCertain(const core::SocketAddress& address,
                   core::TimePoint now,
                   Callback callback);
  bool is_awaited() const { return !waiting_.empty(); }
  // Returns whether a callback has waited so long that the registrations should
  // be read for it, and not yet so long that reads seem to be in vain.
  bool IsReadDue(core::TimePoint now) const;
  // Returns the earliest place in the log from which on the registrations
  // matter for doubts that are not old, or nullopt if there is none.
  std::optional<LogPosition> NeededFrom(core::TimePoint now) const;

 private:
  struct Waiting {
    core::SocketAddress address;
    core::TimePoint since;
    Callback callback;
    bool has_broken = false;
  };
  // What is known of an address whose connections have broken.
  struct Doubt {
    core::TimePoint broken_at{};
    // When the endpoint was last heard before the break, and what was known of
    // the process that was heard; nullptr if it was certain.
    std::optional<core::TimePoint> heard_at;
    std::shared_ptr<const Doubt> before;
    // When the first connection after the break was established.
    std::optional<core::TimePoint> connected_at;
    // Start of the latest read after the break.
    std::optional<core::TimePoint> read_at;
    // Where the log ended at some time after the connection, and up to where
    // its registrations from there on are known.
    std::optional<LogPosition> log_end;
    LogPosition scanned_to;
    // The start with which the endpoint has registered since then.
    std::optional<int64_t> started_at_ms;
  };

  void DropOldest();

  std::map<core::SocketAddress, Doubt> doubts_;
  // When bytes of an endpoint were last read soon after they had arrived.
  std::map<core::SocketAddress, core::TimePoint> heard_at_;
  core::TimePoint turned_at_{};
  // When the process last ran again after it had stood still.
  core::TimePoint resumed_at_{};
  // Oldest first.
  std::vector<Waiting> waiting_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ORIGIN_CERTAINTY_H_
