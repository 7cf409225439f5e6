// Manages fleet membership and what follows from it: this host's roles, the
// reports that hosts exchange (records of the platform's topics, the number of
// requests in flight at each endpoint, endpoint crashes, where streams began),
// and the hosts that accept requests.

#ifndef SERVICES_FORWARDER_FLEET_CONTROLLER_H_
#define SERVICES_FORWARDER_FLEET_CONTROLLER_H_

#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibForwarding/adapter_set.h"
#include "LibForwarding/carrier_directory.h"
#include "LibForwarding/crash_exchange.h"
#include "LibForwarding/crash_sync.h"
#include "LibForwarding/load_exchange.h"
#include "LibForwarding/pace_exchange.h"
#include "LibForwarding/permit_exchange.h"
#include "LibForwarding/place_exchange.h"
#include "LibForwarding/pool_slot_exchange.h"
#include "LibForwarding/stream_origin_exchange.h"
#include "LibHttp/client.h"
#include "LibMembership/gossip_node.h"
#include "Services/Forwarder/crash_record_controller.h"
#include "Services/Forwarder/fleet_topic_controller.h"
#include "Services/Forwarder/forwarder_settings.h"
#include "Services/Forwarder/origin_controller.h"
#include "Services/Forwarder/topic_controller.h"

namespace wasabi::forwarder {

// The dependencies of a FleetController. All of them must outlive it.
struct FleetContext {
  core::EventLoop* loop = nullptr;
  platform::Scheduler* scheduler = nullptr;
  core::EventRing* events = nullptr;
  http::Client* client = nullptr;
  const forwarding::AdapterSet* adapters = nullptr;
  forwarding::LoadTable* loads = nullptr;
  forwarding::EndpointPace* paces = nullptr;
  forwarding::CrashSuspects* suspects = nullptr;
  forwarding::CarrierDirectory* carriers = nullptr;
  const forwarding::EndpointTable* endpoints = nullptr;
  forwarding::OriginHistory* origin_history = nullptr;
  forwarding::OriginCertainty* origin_certainty = nullptr;
};

class FleetController {
 public:
  // Opens the gossip socket, sets the seeds and starts the periodic timer.
  // Error: kCannotListen.
  static absl::StatusOr<std::unique_ptr<FleetController>> Create(
      const FleetContext& context,
      const ForwarderSettings& settings);
  ~FleetController();
  FleetController(const FleetController&) = delete;
  FleetController& operator=(const FleetController&) = delete;

  // Sets the topics to relay, besides the fleet's own.
  void SetTopics(std::vector<RelayedTopic> topics);
  TopicController& topics() { return topics_; }

  // Announces to the fleet that this host accepts requests.
  void AnnounceReady();
  // Announces to the fleet that this host is shutting down.
  void AnnounceLeaving();

  // Returns the addresses at which hosts accept callers' requests: only those
  // in `data_centre` if it has enough such hosts, otherwise those of the whole
  // fleet.
  std::vector<core::SocketAddress> ServingAddresses(
      const core::DataCentreId& data_centre) const;

  forwarding::StreamOriginExchange* stream_origins() {
    return &stream_origins_;
  }

  OriginController& origins() { return origins_; }
  const CrashRecordController& crash_records() const { return crash_records_; }

  forwarding::PermitExchange* permits() { return &permits_; }
  forwarding::PlaceExchange* places() { return &places_; }
  forwarding::PoolSlotExchange* pool_slots() { return &pool_slots_; }

  // Returns the age that the known load of another host may reach.
  core::Duration max_load_age() const { return load_exchange_.MaxAge(); }

  // Returns an upper estimate of the number of running hosts. It includes hosts
  // that are unreachable at the moment.
  size_t host_count() const;

 private:
  FleetController(const FleetContext& context,
                  const ForwarderSettings& settings);

  absl::Status Start();
  void SetApplicationHandlers();
  // Sets those of the modules in which hosts grant each other permits, places
  // and slots, and share what they know of endpoints.
  void SetGrantHandlers();
  // Derives this host's roles and peers from the member table if it has
  // changed.
  void UpdateRoles();
  void Tick();
  TopicController::SendFunction SendFunction();
  void SendTo(const std::vector<core::HostId>& hosts,
              membership::ApplicationKind kind,
              std::string_view body);

  const FleetContext context_;
  const ForwarderSettings settings_;
  std::unique_ptr<membership::GossipNode> gossip_;
  bool are_roles_stale_ = true;
  forwarding::LoadExchange load_exchange_;
  forwarding::CrashExchange crash_exchange_;
  forwarding::CrashSync crash_sync_;
  forwarding::StreamOriginExchange stream_origins_;
  forwarding::PermitExchange permits_;
  forwarding::PlaceExchange places_;
  OriginController origins_;
  forwarding::PoolSlotExchange pool_slots_;
  forwarding::PaceExchange pace_exchange_;
  CrashRecordController crash_records_;
  FleetTopicController fleet_topic_;
  TopicController topics_;
  std::unique_ptr<core::Timer> ticker_;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_FLEET_CONTROLLER_H_
