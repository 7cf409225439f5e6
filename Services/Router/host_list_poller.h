// Keeps the endpoint directory in step with the platform's host list.

#ifndef SERVICES_ROUTER_HOST_LIST_POLLER_H_
#define SERVICES_ROUTER_HOST_LIST_POLLER_H_

#include <functional>
#include <memory>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibPlatform/host_list_client.h"
#include "Services/Router/endpoint_directory.h"

namespace wasabi::router {

// FIXME: A router that starts while the platform is out has no list until it
// is back; its peers could hand theirs over, as they do the configuration.
class HostListPoller {
 public:
  // Calls `on_change` after each change of the list.
  HostListPoller(core::EventLoop* loop,
                 platform::HostListClient* client,
                 EndpointDirectory* directory,
                 core::Duration period,
                 std::function<void()> on_change);

  // True once a list was read; before that the host knows no endpoints.
  bool has_list() const { return has_list_; }

  // Gossip addresses of the listed entry daemons.
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
