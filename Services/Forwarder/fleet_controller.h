// Membership of the fleet, and what its hosts tell each other: the records of
// the platform's topics, and how many requests they have at each endpoint.
//
// One host of the fleet, found by hashing, reads the platform's topics all the
// time. It tells one relay in each data centre, which tells the others there,
// so the calls to the platform don't grow with the fleet. A host whose view
// grows old reads the platform by itself.

#ifndef SERVICES_FORWARDER_FLEET_CONTROLLER_H_
#define SERVICES_FORWARDER_FLEET_CONTROLLER_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibForwarding/adapter_set.h"
#include "LibForwarding/load_board.h"
#include "LibForwarding/topic_relay.h"
#include "LibHttp/client.h"
#include "LibMembership/gossip_node.h"
#include "LibPlatform/topic_view.h"
#include "LibRouting/quarantine_table.h"
#include "Services/Forwarder/fleet_duties.h"
#include "Services/Forwarder/forwarder_settings.h"

namespace wasabi::forwarder {

// A topic that hosts relay to each other.
struct RelayedTopic {
  platform::TopicView* view = nullptr;
  forwarding::TopicRelay* relay = nullptr;
};

// What the controller needs of the rest of the process, all of which must
// outlive it.
struct FleetContext {
  core::EventLoop* loop = nullptr;
  platform::Scheduler* scheduler = nullptr;
  core::EventRing* events = nullptr;
  http::Client* client = nullptr;
  const forwarding::AdapterSet* adapters = nullptr;
  forwarding::LoadBoard* loads = nullptr;
  routing::QuarantineTable* quarantine = nullptr;
};

class FleetController {
 public:
  // Starts to listen; kCannotListen.
  static absl::StatusOr<std::unique_ptr<FleetController>> Create(
      const FleetContext& context,
      const ForwarderSettings& settings);
  ~FleetController();
  FleetController(const FleetController&) = delete;
  FleetController& operator=(const FleetController&) = delete;

  // The topics that are kept current from now on.
  void SetTopics(std::vector<RelayedTopic> topics);
  // This host's copy of the topic with this number, compressed; "" for none.
  std::string EncodedCopy(uint8_t topic) const;

  // Takes changed bounds; addresses stay as they are.
  void UpdateBounds(const ForwarderSettings& settings);

  // Tells the fleet that this host takes requests, or that it stops.
  void AnnounceReady();
  void AnnounceLeaving();

  // The hosts that take requests, those of `data_centre` alone where it has
  // enough of them.
  std::vector<core::SocketAddress> CallerAddresses(
      const core::DataCentreId& data_centre) const;

  // Time between two load reports of a host.
  core::Duration load_report_interval() const;

  // Hosts that may be at work, also where they can't be reached now.
  size_t host_count() const;

 private:
  // An encoded message that is sent several times, as datagrams get lost.
  struct CrashNews {
    std::string body;
    int remaining_sends = 0;
    core::TimePoint next_at{};
  };

  FleetController(const FleetContext& context,
                  const ForwarderSettings& settings);

  absl::Status Start();
  void StartFleetTopic();
  void AddSeed(const platform::KeyedRecord& record);
  void Register();
  void Tick();
  void RefreshTopics();
  void SendTopicReports();
  void SendLoadReport();
  void SendCrashes();
  absl::Status OnTopicReport(const membership::Member& from,
                             std::string_view body);
  absl::Status OnLoadReport(const membership::Member& from,
                            std::string_view body);
  absl::Status OnCrashes(std::string_view body);
  void FetchCopy(const membership::Member& from, const RelayedTopic& topic);
  // Whether this host reads the platform for others now.
  bool IsActingReader(const RelayedTopic& topic) const;
  core::Duration FallbackAge() const;
  void SendTo(const std::vector<core::HostId>& hosts,
              uint8_t kind,
              std::string_view body);

  const FleetContext context_;
  ForwarderSettings settings_;
  std::unique_ptr<membership::GossipNode> gossip_;
  FleetDuties duties_;
  std::shared_ptr<platform::TopicView> fleet_topic_;
  std::vector<core::SocketAddress> seeds_;
  std::vector<RelayedTopic> topics_;
  // Topics of which a copy is being fetched.
  std::set<uint8_t> fetching_;
  std::map<uint8_t, core::TimePoint> next_copy_at_;
  std::unique_ptr<core::Timer> ticker_;
  // News of crashes that is still to be repeated, oldest first.
  std::deque<CrashNews> crash_news_;
  core::TimePoint next_topic_report_at_{};
  core::TimePoint next_load_report_at_{};
  core::TimePoint next_registration_at_{};
  bool is_registered_ = false;
  bool is_registering_ = false;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_FLEET_CONTROLLER_H_
