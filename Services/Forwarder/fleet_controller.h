// Membership of the fleet, and what its hosts tell each other: how far they
// have read the platform's topics, and how many requests they have at each
// endpoint.

#ifndef SERVICES_FORWARDER_FLEET_CONTROLLER_H_
#define SERVICES_FORWARDER_FLEET_CONTROLLER_H_

#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibForwarding/adapter_set.h"
#include "LibForwarding/load_board.h"
#include "LibForwarding/topic_relay.h"
#include "LibMembership/gossip_node.h"
#include "LibPlatform/topic_view.h"
#include "Services/Forwarder/forwarder_settings.h"

namespace wasabi::forwarder {

// A topic that hosts relay to each other.
struct RelayedTopic {
  platform::TopicView* view = nullptr;
  forwarding::TopicRelay* relay = nullptr;
  // Age at which a host that reads for others reads again.
  core::Duration reader_age{};
};

class FleetController {
 public:
  // Starts to listen; kCannotListen. The arguments must outlive the controller.
  static absl::StatusOr<std::unique_ptr<FleetController>> Create(
      core::EventLoop* loop,
      const ForwarderSettings& settings,
      const forwarding::AdapterSet* adapters,
      platform::Scheduler* scheduler,
      core::EventRing* events,
      forwarding::LoadBoard* loads);
  ~FleetController();
  FleetController(const FleetController&) = delete;
  FleetController& operator=(const FleetController&) = delete;

  // The topics that are kept current from now on.
  void SetTopics(std::vector<RelayedTopic> topics);

  // Takes changed bounds; addresses stay as they are.
  void UpdateBounds(const ForwarderSettings& settings);

  // Tells the fleet that this host takes requests, or that it stops.
  void AnnounceReady();
  void AnnounceLeaving();

  // The hosts that take requests, those of `data_centre` alone where it has
  // enough of them.
  std::vector<core::SocketAddress> CallerAddresses(
      const core::DataCentreId& data_centre) const;

  // Hosts that may be at work, also where they can't be reached now.
  size_t host_count() const;

 private:
  FleetController(core::EventLoop* loop,
                  const ForwarderSettings& settings,
                  const forwarding::AdapterSet* adapters,
                  platform::Scheduler* scheduler,
                  core::EventRing* events,
                  forwarding::LoadBoard* loads);

  absl::Status Start();
  void StartFleetTopic();
  void Register();
  void Tick();
  void RefreshTopics();
  void SendTopicReports();
  void SendLoadReport();
  absl::Status OnTopicReport(std::string_view body);
  absl::Status OnLoadReport(const membership::Member& from,
                            std::string_view body);
  bool IsReader() const;
  void SendTo(const membership::Member& member,
              uint8_t kind,
              std::string_view body);
  std::vector<const membership::Member*> Peers(bool only_own_centre) const;

  core::EventLoop* const loop_;
  ForwarderSettings settings_;
  const forwarding::AdapterSet* const adapters_;
  platform::Scheduler* const scheduler_;
  core::EventRing* const events_;
  forwarding::LoadBoard* const loads_;
  std::unique_ptr<membership::GossipNode> gossip_;
  std::shared_ptr<platform::TopicView> fleet_topic_;
  std::vector<core::SocketAddress> seeds_;
  std::vector<RelayedTopic> topics_;
  std::unique_ptr<core::Timer> ticker_;
  core::TimePoint next_topic_report_at_{};
  core::TimePoint next_load_report_at_{};
  core::TimePoint next_registration_at_{};
  bool is_registered_ = false;
  bool is_registering_ = false;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_FLEET_CONTROLLER_H_
