// The other hosts that can carry this host's requests to endpoints while its
// own path to them is lost. Performs no I/O; the caller passes in the time.

#ifndef LIBFORWARDING_CARRIER_DIRECTORY_H_
#define LIBFORWARDING_CARRIER_DIRECTORY_H_

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/random_source.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"

namespace wasabi::forwarding {

struct Carrier {
  core::HostId host;
  // Where the host accepts tunnels.
  core::SocketAddress address;
  core::DataCentreId data_centre;

  auto operator<=>(const Carrier&) const = default;
};

class CarrierDirectory {
 public:
  CarrierDirectory(core::DataCentreId data_centre, uint64_t seed)
      : data_centre_(std::move(data_centre)), random_(seed) {}

  // Sets the hosts that accept requests, without this one.
  void SetCarriers(std::vector<Carrier> carriers) {
    carriers_ = std::move(carriers);
  }
  bool empty() const { return carriers_.empty(); }
  size_t size() const { return carriers_.size(); }

  // Records that `host` could not carry a request. It is not chosen for a
  // while.
  void RecordUnavailable(const core::HostId& host, core::TimePoint now);

  // Returns a random host that is not in `tried`: one of this host's data
  // centre first, unless hosts there could not help lately. Returns nullopt if
  // none is left. Each call may return another one, so that carriers share the
  // work.
  std::optional<Carrier> Choose(const std::set<core::HostId>& tried,
                                core::TimePoint now);

 private:
  const core::DataCentreId data_centre_;
  core::RandomSource random_;
  std::vector<Carrier> carriers_;
  std::map<core::HostId, core::TimePoint> avoided_until_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_CARRIER_DIRECTORY_H_
