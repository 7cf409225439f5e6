// The control daemon as one object: creates the components of wasabi_control
// and connects them on one event loop.

#ifndef SERVICES_CONTROL_CONTROL_DAEMON_H_
#define SERVICES_CONTROL_CONTROL_DAEMON_H_

#include <memory>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibCore/metrics.h"
#include "LibHttp/client.h"
#include "LibHttp/server.h"
#include "LibIntent/configuration_exchange.h"
#include "LibIntent/configuration_follower.h"
#include "LibLink/link_node.h"
#include "LibMembership/gossip_node.h"
#include "LibPlatform/http_host_list_client.h"
#include "LibPlatform/http_log_client.h"
#include "Services/Control/control_settings.h"
#include "Services/Control/intent_api.h"
#include "Services/Control/order_driver.h"
#include "Services/Control/pool_watcher.h"
#include "Services/Control/snapshot_schedule.h"
#include "absl/status/statusor.h"

namespace wasabi::control {

class ControlDaemon {
 public:
  // Starts listening and following the configuration. Error: kCannotListen if
  // an address is in use. `loop` must outlive the daemon.
  static absl::StatusOr<std::unique_ptr<ControlDaemon>> Create(
      core::EventLoop* loop,
      const ControlSettings& settings);
  ~ControlDaemon();

  // Begins a graceful shutdown. Stops the loop once all requests in flight have
  // been answered or the stop timeout has expired.
  void BeginStop();

 private:
  ControlDaemon(core::EventLoop* loop, const ControlSettings& settings);

  absl::Status Start();
  absl::Status StartGossip();
  absl::Status StartLink();
  absl::Status StartServer();
  void StartController();
  // Passes the gossip addresses of a new host list to the gossip node and its
  // endpoints to the order controller.
  void OnHostList();
  // Passes the current configuration, pools and pool ownership to the order
  // controller.
  void UpdateOrders();
  void OnTick();
  void AppendSnapshotIfDue();
  // The position of this daemon among the control daemons that may append a
  // snapshot; 0 is the first to try.
  size_t SnapshotRank() const;
  // Stops the loop if the shutdown is complete or has timed out.
  void CheckStopped();

  core::EventLoop* loop_;
  const ControlSettings settings_;
  // Identifies this run of the daemon in log records.
  const std::string writer_;
  core::EventRing events_;
  core::Metrics metrics_;
  http::Client http_client_;
  platform::HttpLogClient log_;
  platform::HttpHostListClient host_list_;
  std::shared_ptr<intent::ConfigurationFollower> follower_;
  std::unique_ptr<membership::GossipNode> gossip_;
  std::unique_ptr<link::LinkNode> link_;
  std::unique_ptr<intent::ConfigurationCatchUp> catch_up_;
  std::unique_ptr<OrderDriver> orders_;
  std::unique_ptr<PoolWatcher> pool_watcher_;
  std::unique_ptr<IntentApi> api_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<core::Timer> tick_timer_;
  std::unique_ptr<core::Timer> stop_timer_;
  SnapshotSchedule snapshots_;
  // Sequence number of the next snapshot record of this writer.
  int64_t next_snapshot_ = 1;
  bool is_appending_snapshot_ = false;
  bool is_stopping_ = false;
  core::TimePoint stop_deadline_;
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_CONTROL_DAEMON_H_
