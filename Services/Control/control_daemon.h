// wasabi_control as one object: wires the libraries to the loop.

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
  // Listens and begins to follow the configuration; kCannotListen where an
  // address is taken. `loop` must outlive the daemon.
  static absl::StatusOr<std::unique_ptr<ControlDaemon>> Create(
      core::EventLoop* loop,
      const ControlSettings& settings);
  ~ControlDaemon();

  // Begins a graceful shutdown; stops the loop when all requests in flight are
  // answered or the stop timeout has passed.
  void BeginStop();

 private:
  ControlDaemon(core::EventLoop* loop, const ControlSettings& settings);

  absl::Status Start();
  absl::Status StartGossip();
  absl::Status StartLink();
  absl::Status StartServer();
  void StartController();
  // Hands the endpoints and the members on to those that act on them.
  void OnHostList();
  void UpdateOrders();
  void OnTick();
  void AppendSnapshotIfDue();
  size_t SnapshotRank() const;
  void CheckStopped();

  core::EventLoop* loop_;
  const ControlSettings settings_;
  // Names this life of the daemon in the log.
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
  int64_t next_snapshot_ = 1;
  bool is_appending_snapshot_ = false;
  bool is_stopping_ = false;
  core::TimePoint stop_deadline_;
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_CONTROL_DAEMON_H_
