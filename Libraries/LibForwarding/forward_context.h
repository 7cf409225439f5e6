// State and services that all forwarding sessions of a process share. The
// pointers are not owned.

#ifndef LIBFORWARDING_FORWARD_CONTEXT_H_
#define LIBFORWARDING_FORWARD_CONTEXT_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibCore/metrics.h"
#include "LibCore/random_source.h"
#include "LibForwarding/active_requests.h"
#include "LibForwarding/carrier_directory.h"
#include "LibForwarding/cold_endpoints.h"
#include "LibForwarding/crash_detector.h"
#include "LibForwarding/crash_suspects.h"
#include "LibForwarding/endpoint_monitor.h"
#include "LibForwarding/endpoint_pace.h"
#include "LibForwarding/endpoint_selector.h"
#include "LibForwarding/endpoint_shares.h"
#include "LibForwarding/endpoint_table.h"
#include "LibForwarding/load_table.h"
#include "LibForwarding/long_prompts.h"
#include "LibForwarding/origin_certainty.h"
#include "LibForwarding/origin_confirmation.h"
#include "LibForwarding/origin_history.h"
#include "LibForwarding/origin_prober.h"
#include "LibForwarding/origin_reporter.h"
#include "LibForwarding/path_prober.h"
#include "LibForwarding/permit_exchange.h"
#include "LibForwarding/place_exchange.h"
#include "LibForwarding/pool_slot_exchange.h"
#include "LibForwarding/prompt_holders.h"
#include "LibForwarding/prompt_popularity.h"
#include "LibForwarding/protocols.h"
#include "LibForwarding/retry_allowance.h"
#include "LibForwarding/service_times.h"
#include "LibForwarding/stored_origins.h"
#include "LibForwarding/stream_origin_exchange.h"
#include "LibForwarding/wait_queue.h"
#include "LibHttp/buffer_memory.h"
#include "LibHttp/origin_client.h"
#include "LibRouting/stop_schedule.h"

namespace wasabi::forwarding {

struct ForwardContext {
  core::EventLoop* loop = nullptr;
  core::EventRing* events = nullptr;
  core::Metrics* metrics = nullptr;
  http::OriginClient* client = nullptr;
  const CallerProtocol* caller_protocol = nullptr;
  const EndpointProtocol* endpoint_protocol = nullptr;
  EndpointTable* endpoints = nullptr;
  EndpointMonitor* monitor = nullptr;
  LoadTable* loads = nullptr;
  WaitQueue* waiting = nullptr;
  CrashSuspects* suspects = nullptr;
  CrashDetector* crashes = nullptr;
  PathProber* path = nullptr;
  CarrierDirectory* carriers = nullptr;
  ColdEndpoints* cold_endpoints = nullptr;
  PermitExchange* permits = nullptr;
  PlaceExchange* places = nullptr;
  PoolSlotExchange* pool_slots = nullptr;
  EndpointPace* paces = nullptr;
  StreamOriginExchange* stream_origins = nullptr;
  StoredOrigins* stored_origins = nullptr;
  OriginConfirmation* origin_confirmation = nullptr;
  OriginProber* origin_prober = nullptr;
  OriginReporter* origin_reporter = nullptr;
  core::RandomSource* random = nullptr;
  // Whether the deployment asks for an order of waiting that is fair among
  // organisations, early refusal and paced return. Otherwise requests wait and
  // are refused as before.
  bool load_control_enabled = false;
  SelectionPolicy selection;
  RetryAllowancePolicy retry_policy;
  // Retries of this host before this time are unknown.
  core::TimePoint retries_known_from = core::TimePoint::min();
  core::DataCentreId data_centre;
  // Returns the number of hosts that share the fleet's retries.
  std::function<size_t()> host_count;
  // Returns the age that the known load of another host may reach.
  std::function<core::Duration()> max_load_age;
  // Returns the age of this host's view of the endpoints, for log entries.
  std::function<core::Duration()> endpoint_view_age;
  std::map<core::PoolId, RetryAllowance> retries;
  ServiceTimes service_times;
  std::map<core::PoolId, PromptPopularity> popularity;
  std::map<core::PoolId, EndpointShares> shares;
  std::map<core::PoolId, LongPromptDemand> long_prompts;
  PromptHolders prompt_holders;
  OriginHistory origin_history;
  OriginCertainty origin_certainty;
  // Counts the buffers of all connections and requests.
  std::shared_ptr<http::BufferMemory> buffer_memory;
  ActiveRequests active_requests;
  // Set once the host shuts down.
  std::optional<routing::StopSchedule> stop;

  // Returns whether requests for the pool consider the pace of endpoints.
  bool UsesPace(const core::PoolId& pool) const {
    return paces != nullptr && (load_control_enabled || paces->IsStated(pool));
  }

  RetryAllowance& RetryAllowanceFor(const core::PoolId& pool) {
    return retries.try_emplace(pool, retry_policy, retries_known_from)
        .first->second;
  }
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_FORWARD_CONTEXT_H_
