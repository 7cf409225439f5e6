// Polls the platform's host list and updates the endpoint directory.

#ifndef SERVICES_ROUTER_HOST_LIST_POLLER_H_
#define SERVICES_ROUTER_HOST_LIST_POLLER_H_

#include <functional>
#include <memory>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibPlatform/host_list_client.h"
#include "Services/Router/endpoint_directory.h"

namespace wasabi::router {

// FIXME: A router that starts during a platform outage has no host list until
// the platform recovers. Peers could transfer their list, as they already do
// with the configuration.
class HostListPoller {
 public:
  // Starts polling at once, then every `period` after each response. Calls
  // `on_change` on the event loop after each change of the list. `loop`,
  // `client` and `directory` must outlive the poller.
  HostListPoller(core::EventLoop* loop,
                 platform::HostListClient* client,
                 EndpointDirectory* directory,
                 core::Duration period,
                 std::function<void()> on_change);

  // Returns true once a list has been received. Before that, the router knows
  // no endpoints.
  bool has_list() const { return has_list_; }

  // Returns the gossip addresses of the entry daemons in the list.
  std::vector<core::SocketAddress> EntryAddresses() const;

 private:
  void Poll();
  void OnList(const absl::StatusOr<platform::HostList>& list);

  core::EventLoop* loop_;
  platform::HostListClient* client_;
  EndpointDirectory* directory_;
  core::Duration period_;
  std::function<void()> on_change_;
  std::unique_ptr<core::Timer> timer_;
  bool has_list_ = false;
  uint64_t known_version_ = 0;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_HOST_LIST_POLLER_H_
