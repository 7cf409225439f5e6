// Tells whether the registration that this host has read still describes the
// process that serves at an endpoint's address. It is decision code without
// I/O: the caller supplies the time and says what connections and reads show.
//
// Load pattern: while the platform's store is away or this host's view of it
// lags, endpoints crash and start again under their ids and addresses with
// another software version, and callers resume streams. A connection is open
// to one process only. After the connections to an address have broken, the
// registration counts again once a read has begun after a new connection was
// established: an endpoint is registered before it serves streams.

#ifndef LIBFORWARDING_ORIGIN_CERTAINTY_H_
#define LIBFORWARDING_ORIGIN_CERTAINTY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "LibCore/socket_address.h"
#include "LibCore/time.h"

namespace wasabi::forwarding {

class OriginCertainty {
 public:
  // Receives whether the connections to the endpoint have broken since the call
  // of AfterRead. If not, the registration that this host now holds describes
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
  // addresses in `outdated`.
  void RecordRead(core::TimePoint started_at,
                  const std::set<core::SocketAddress>& outdated = {});

  // Returns whether nothing says that the endpoint at `address` has started
  // anew since its registration was read.
  bool IsCertain(const core::SocketAddress& address) const;
  // Returns whether the registrations were read shortly before `now`, and after
  // the latest break of `address`. That is what a host can know that has lost
  // its own path to the endpoints and sends through another host.
  bool IsReadLately(const core::SocketAddress& address,
                    core::TimePoint now) const;
  // Returns whether a new connection to `address` is established, or not needed
  // for certainty.
  bool IsConnected(const core::SocketAddress& address) const;

  // Calls `callback` after a read that began after this call, unless it takes
  // longer than a stream lives.
  void AfterRead(const core::SocketAddress& address,
                 core::TimePoint now,
                 Callback callback);
  bool is_awaited() const { return !waiting_.empty(); }
  // Returns whether a callback has waited so long that the registrations should
  // be read for it.
  bool IsReadDue(core::TimePoint now) const;

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
    // When the first connection after the break was established.
    std::optional<core::TimePoint> connected_at;
    // Start of the latest read after the break.
    std::optional<core::TimePoint> read_at;
  };

  void DropOldest();
  // Calls back those that a read from `started_at` on serves.
  void Serve(core::TimePoint started_at,
             const std::set<core::SocketAddress>& outdated);

  std::map<core::SocketAddress, Doubt> doubts_;
  // Oldest first.
  std::vector<Waiting> waiting_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ORIGIN_CERTAINTY_H_
