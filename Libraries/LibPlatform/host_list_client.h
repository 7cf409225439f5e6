// Interface to the platform's list of live and leaving hosts, which lags behind
// their actual state.

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

// One row of the list. An entry host has one row per daemon.
struct ListedHost {
  std::string id;
  HostKind kind = HostKind::kRunner;
  // The pool of a runner or a service endpoint.
  core::PoolId pool;
  core::DataCentreId data_centre;
  // The HTTP address of a runner or service, or the gossip (UDP) address of an
  // entry daemon.
  core::SocketAddress address;
  HostState state = HostState::kLive;

  auto operator<=>(const ListedHost&) const = default;
};

// One version of the list.
struct HostList {
  // Increases with every change of the list.
  uint64_t version = 0;
  std::vector<ListedHost> hosts;
};

class HostListClient {
 public:
  using Callback = std::function<void(absl::StatusOr<HostList>)>;

  virtual ~HostListClient() = default;

  // Requests the list. A result with `known_version` and no hosts means that
  // the list has not changed. Error: kPlatformUnavailable.
  virtual void Fetch(uint64_t known_version, Callback callback) = 0;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_HOST_LIST_CLIENT_H_
