// Manages fleet membership and the reports that hosts exchange: records of the
// platform's topics, the number of requests in flight at each endpoint, and
// endpoint crashes.
//
// One host of the fleet, selected by rendezvous hashing, reads the platform's
// topics continuously. It reports to one relay in each data centre, and the
// relay reports to the other hosts there, so the number of calls to the
// platform does not grow with the fleet. A host whose view becomes stale reads
// the platform itself.

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
#include "LibCore/random_source.h"
#include "LibForwarding/adapter_set.h"
#include "LibForwarding/load_exchange.h"
#include "LibForwarding/topic_relay.h"
#include "LibHttp/client.h"
#include "LibMembership/gossip_node.h"
#include "LibPlatform/topic_view.h"
#include "LibRouting/quarantine_table.h"
#include "Services/Forwarder/fleet_roles.h"
#include "Services/Forwarder/fleet_topic_controller.h"
#include "Services/Forwarder/forwarder_settings.h"

namespace wasabi::forwarder {

// A topic whose records are relayed between hosts. The objects behind the
// pointers must outlive the FleetController.
struct RelayedTopic {
  platform::TopicView* view = nullptr;
  forwarding::TopicRelay* relay = nullptr;
  // Whether changes must reach all hosts at once, within the bounds on leaving
  // endpoints and configurations.
  bool is_urgent = true;
};

// The dependencies of a FleetController. All of them must outlive it.
struct FleetContext {
  core::EventLoop* loop = nullptr;
  platform::Scheduler* scheduler = nullptr;
  core::EventRing* events = nullptr;
  http::Client* client = nullptr;
  const forwarding::AdapterSet* adapters = nullptr;
  forwarding::LoadTable* loads = nullptr;
  routing::QuarantineTable* quarantine = nullptr;
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

  // Sets the topics to refresh, report and serve as copies from now on.
  void SetTopics(std::vector<RelayedTopic> topics);
  // Returns this host's copy of the topic with the number `topic`, encoded and
  // compressed, or "" if the topic is unknown or not loaded yet.
  std::string EncodedCopy(uint8_t topic);

  // Applies the staleness bounds of reloaded settings. Other settings, such as
  // addresses, keep their values.
  void UpdateBounds(const ForwarderSettings& settings);

  // Announces to the fleet that this host accepts requests.
  void AnnounceReady();
  // Announces to the fleet that this host is shutting down.
  void AnnounceLeaving();

  // Returns the addresses at which hosts accept callers' requests: only those
  // in `data_centre` if it has enough such hosts, otherwise those of the whole
  // fleet.
  std::vector<core::SocketAddress> ServingAddresses(
      const core::DataCentreId& data_centre) const;

  // Returns the age that the known load of another host may reach.
  core::Duration max_load_age() const { return load_exchange_.MaxAge(); }

  // Returns the number of calls that this host has made to the platform.
  uint64_t platform_calls() const;

  // Returns an upper estimate of the number of running hosts. It includes hosts
  // that are unreachable at the moment.
  size_t host_count() const;

 private:
  // An encoded crash report. It is sent several times because datagrams can get
  // lost.
  struct CrashReport {
    std::string body;
    int remaining_sends = 0;
    core::TimePoint next_send_at{};
  };

  // A fetch of a topic's copy that waits for its turn.
  struct PendingFetch {
    uint8_t topic = 0;
    core::SocketAddress from;
    platform::TopicView* view = nullptr;
    core::TimePoint due_at{};
  };

  struct CachedCopy {
    std::string body;
    platform::Offset next = 0;
    platform::LogEpoch epoch = 0;
    core::TimePoint encoded_at{};
  };

  FleetController(const FleetContext& context,
                  const ForwarderSettings& settings);

  absl::Status Start();
  void SetApplicationHandlers();
  // Derives this host's roles and peers from the member table if it has
  // changed.
  void UpdateRoles();
  void Tick();
  // Records the number of calls to the platform if it has changed.
  void RecordPlatformCalls();
  void RefreshTopics();
  // Returns whether this host is the reader of the fleet, as far as it knows
  // the fleet.
  bool IsReader() const;
  // Returns whether this host may read the topic from the platform itself.
  // While a copy from another host can be expected, it may not.
  bool MayRead(const RelayedTopic& topic) const;
  // Returns this host's random share of a time for which it waits for copies.
  core::Duration ShareOf(core::Duration patience) const;
  void SendTopicReports();
  core::Duration TopicReportInterval(size_t receivers) const;
  void SendCrashReports();
  absl::Status OnTopicReport(const membership::Member& from,
                             std::string_view body);
  absl::Status OnCrashReport(std::string_view body);
  // Schedules a fetch of the topic's copy from a host that has newer records.
  void FetchCopy(const membership::Member& from, const RelayedTopic& topic);
  void StartDueFetches();
  void SendFetch(const PendingFetch& fetch);
  // Returns true if this host currently reads `topic` from the platform on
  // behalf of the fleet.
  bool IsActingReader(const RelayedTopic& topic) const;
  // Returns the view age from which this host reads the platform itself.
  core::Duration FallbackAge() const;
  void SendTo(const std::vector<core::HostId>& hosts,
              uint8_t kind,
              std::string_view body);

  const FleetContext context_;
  ForwarderSettings settings_;
  std::unique_ptr<membership::GossipNode> gossip_;
  FleetRoles roles_;
  bool are_roles_stale_ = true;
  forwarding::LoadExchange load_exchange_;
  std::vector<RelayedTopic> topics_;
  // Numbers of the topics whose copy is being fetched.
  std::set<uint8_t> fetches_in_flight_;
  std::vector<PendingFetch> pending_fetches_;
  // The earliest time of the next fetch, by topic number.
  std::map<uint8_t, core::TimePoint> next_fetch_at_;
  std::unique_ptr<core::Timer> ticker_;
  // Crash reports with sends remaining, oldest first.
  std::deque<CrashReport> pending_crash_reports_;
  core::TimePoint next_report_to_relays_at_{};
  core::TimePoint next_report_to_peers_at_{};
  std::string recorded_calls_;
  core::TimePoint next_calls_record_at_{};
  core::RandomSource random_;
  FleetTopicController fleet_topic_;
  const core::TimePoint started_at_;
  // When the fleet topic was first loaded.
  core::TimePoint fleet_topic_loaded_at_{};
  // Share of the time for which a starting host waits for copies, from 0 to 1.
  const double patience_share_;
  // The latest encoded copy of each topic, by topic number.
  std::map<uint8_t, CachedCopy> copies_;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_FLEET_CONTROLLER_H_
