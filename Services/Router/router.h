// The router daemon: creates and connects all its components.

#ifndef SERVICES_ROUTER_ROUTER_H_
#define SERVICES_ROUTER_ROUTER_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibCore/metrics.h"
#include "LibHttp/client.h"
#include "LibHttp/server.h"
#include "LibIntent/configuration_exchange.h"
#include "LibIntent/configuration_follower.h"
#include "LibLink/link_node.h"
#include "LibLoad/pool_load_service.h"
#include "LibMembership/fact_service.h"
#include "LibMembership/gossip_node.h"
#include "LibPlatform/http_host_list_client.h"
#include "LibPlatform/http_log_client.h"
#include "LibRouting/placement.h"
#include "LibRouting/rate_limiter.h"
#include "LibRouting/retry_budget.h"
#include "Services/Router/chat_session.h"
#include "Services/Router/endpoint_directory.h"
#include "Services/Router/filter.h"
#include "Services/Router/host_list_poller.h"
#include "Services/Router/http_frontend.h"
#include "Services/Router/ledger_controller.h"
#include "Services/Router/owner_controller.h"
#include "Services/Router/quarantine_controller.h"
#include "Services/Router/router_settings.h"
#include "Services/Router/service_caller.h"
#include "Services/Router/work_transport.h"

namespace wasabi::router {

// One router process. All its callbacks run on `loop`, which must outlive the
// router.
class Router {
 public:
  // Opens the listeners and starts joining the fleet. Returns kCannotListen if
  // an address is not available.
  static absl::StatusOr<std::unique_ptr<Router>> Create(
      core::EventLoop* loop,
      const RouterSettings& settings);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Begins a graceful shutdown: announces that the router is leaving, finishes
  // the requests in flight and then stops the loop. Has no effect if already
  // stopping.
  void BeginShutdown();

 private:
  // Condition of a runner that was last shared with the fleet, and when.
  struct SharedCondition {
    EndpointCondition condition = EndpointCondition::kHealthy;
    core::TimePoint shared_at;
  };

  Router(core::EventLoop* loop, const RouterSettings& settings);

  absl::Status Start();
  absl::Status StartLink();
  absl::Status StartMembership();
  absl::Status StartHttp();
  void StartOwners();
  void StartFrontend();
  void StartCatchUp();
  void RegisterGauges();

  void OnInboundCall(const std::shared_ptr<link::InboundCall>& call);
  // Applies a change of membership, host list or configuration.
  void OnFleetChanged();
  // Records a condition locally and shares it with the fleet through gossip.
  void ShareCondition(const core::RunnerId& runner,
                      EndpointCondition condition);
  // Handles an endpoint condition that another router shared.
  void OnFact(const std::string& key, const std::string& value);
  // Sets the gossip seeds to those of the settings and the host list.
  void UpdateSeeds();
  void OnTick();
  void OnSlowTick();
  // Publishes the demand on the local runners, by pool.
  void ShareDemand();
  bool IsReady() const;
  bool IsDrained() const;
  std::string StatusJson() const;
  std::vector<core::RunnerId> PreferenceOrder(const RequestContext& request);
  routing::PlacementStrategy* StrategyOf(const intent::ModelPool& pool);
  routing::RetryBudget& RetryBudgetOf(const core::PoolId& pool);
  // Returns the control traffic so far, in bytes, including gossip.
  double ControlBytes() const;
  void RunLedgerCall(const std::shared_ptr<http::Exchange>& exchange,
                     const RequestContext& context);
  void AnswerLedgerCall(const std::shared_ptr<http::Exchange>& exchange,
                        const std::string& request_id,
                        const ledger::LedgerOutcome& outcome);
  void RunServiceCall(const std::shared_ptr<http::Exchange>& exchange,
                      const RequestContext& context);

  core::EventLoop* loop_;
  const RouterSettings settings_;
  // Start time in milliseconds since the Unix epoch. Distinguishes this process
  // from earlier ones with the same host name.
  const uint64_t incarnation_;
  core::EventRing events_;
  core::Metrics metrics_;
  http::Client data_client_;
  http::Client control_client_;
  // For ledger records. Separate from control traffic, because their volume
  // grows with the number of ledger calls.
  http::Client ledger_client_;
  AnswerStore answers_;
  EndpointDirectory directory_;
  std::unique_ptr<platform::HttpLogClient> log_client_;
  std::unique_ptr<platform::HttpLogClient> ledger_log_client_;
  std::unique_ptr<platform::HttpHostListClient> host_list_client_;
  std::shared_ptr<intent::ConfigurationFollower> configuration_;
  std::unique_ptr<link::LinkNode> link_;
  std::unique_ptr<membership::GossipNode> gossip_;
  std::unique_ptr<intent::ConfigurationCatchUp> catch_up_;
  std::unique_ptr<load::PoolLoadService> pool_loads_;
  std::set<core::PoolId> shared_pools_;
  std::unique_ptr<membership::FactService> facts_;
  std::map<core::RunnerId, SharedCondition> shared_conditions_;
  std::unique_ptr<HostListPoller> host_list_;
  std::unique_ptr<QuarantineController> quarantine_;
  std::unique_ptr<OwnerController> owners_;
  std::unique_ptr<WorkTransport> transport_;
  std::unique_ptr<ServiceCaller> service_caller_;
  std::unique_ptr<LedgerController> ledger_;
  routing::RateLimiter rate_limiter_;
  std::map<core::PoolId, routing::RetryBudget> retry_budgets_;
  SessionContext session_context_;
  std::unique_ptr<FilterChain> chat_filters_;
  std::unique_ptr<FilterChain> service_filters_;
  std::unique_ptr<HttpFrontend> frontend_;
  std::unique_ptr<http::Server> server_;
  std::map<core::PoolId, std::unique_ptr<routing::PlacementStrategy>>
      strategies_;
  // Settings from which each strategy was created; a change recreates it.
  std::map<core::PoolId, intent::ModelPool> strategy_settings_;
  std::unique_ptr<core::Timer> tick_;
  std::unique_ptr<core::Timer> slow_tick_;
  bool is_stopping_ = false;
  core::TimePoint stop_listening_at_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ROUTER_H_
