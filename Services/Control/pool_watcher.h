// Polls the platform's host list and keeps the endpoints of each pool, their
// addresses, and the gossip addresses of the entry daemons.

#ifndef SERVICES_CONTROL_POOL_WATCHER_H_
#define SERVICES_CONTROL_POOL_WATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibIntent/pool_members.h"
#include "LibPlatform/host_list_client.h"
#include "absl/status/statusor.h"

namespace wasabi::control {

class PoolWatcher {
 public:
  // Polls every `period`, the first time at once, and calls `on_change` on the
  // loop after each change of the list. All pointers must outlive this object.
  PoolWatcher(core::EventLoop* loop,
              platform::HostListClient* client,
              core::Duration period,
              std::function<void()> on_change);
  ~PoolWatcher();
  PoolWatcher(const PoolWatcher&) = delete;
  PoolWatcher& operator=(const PoolWatcher&) = delete;

  // Returns the live endpoints of each pool.
  const intent::PoolMembers& pools() const { return pools_; }
  // Returns the HTTP address of `endpoint`, or an empty address if it is not in
  // the list.
  core::SocketAddress AddressOf(const std::string& endpoint) const;
  // Returns the gossip addresses of the entry daemons in the list.
  const std::vector<core::SocketAddress>& entries() const { return entries_; }

 private:
  void Poll();
  void OnList(const absl::StatusOr<platform::HostList>& list);

  platform::HostListClient* client_;
  std::function<void()> on_change_;
  std::unique_ptr<core::Timer> timer_;
  // Version of the list in use; 0 before the first one.
  uint64_t version_ = 0;
  bool is_polling_ = false;
  intent::PoolMembers pools_;
  std::map<std::string, core::SocketAddress> addresses_;
  std::vector<core::SocketAddress> entries_;
  // Set to false on destruction; a callback that runs later checks it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_POOL_WATCHER_H_
