// Access to the platform's lagging list of live and leaving hosts.

#ifndef LIBPLATFORM_HOST_LIST_CLIENT_H_
#define LIBPLATFORM_HOST_LIST_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/socket_address.h"
#include "absl/status/statusor.h"

namespace wasabi::platform {

enum class HostKind { kEntry, kRunner, kService };
enum class HostState { kLive, kLeaving };

// One row of the list. Entry hosts give one row per daemon.
struct ListedHost {
  std::string id;
  HostKind kind = HostKind::kRunner;
  // The pool that a runner or a service endpoint belongs to.
  core::PoolId pool;
  core::DataCentreId data_centre;
  // HTTP for runners and services, gossip (UDP) for entry daemons.
  core::SocketAddress address;
  HostState state = HostState::kLive;

  auto operator<=>(const ListedHost&) const = default;
};

// The list at one version.
struct HostList {
  // Grows with every change of the list.
  uint64_t version = 0;
  std::vector<ListedHost> hosts;
};

class HostListClient {
 public:
  using Callback = std::function<void(absl::StatusOr<HostList>)>;

  virtual ~HostListClient() = default;

  // Asks for the list; a list with `known_version` and no hosts means that
  // nothing changed. Error: kPlatformUnavailable.
  virtual void Fetch(uint64_t known_version, Callback callback) = 0;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_HOST_LIST_CLIENT_H_
