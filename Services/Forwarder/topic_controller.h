// Keeps this host's views of the platform's topics fresh, and those of its
// neighbours.
//
// One host of the fleet, selected by rendezvous hashing, reads the platform's
// topics continuously. It reports to one relay in each data centre, and the
// relay reports to the other hosts there, so the number of calls to the
// platform does not grow with the fleet. A host that lacks records fetches a
// copy from the host that reported. A host whose view becomes stale reads the
// platform itself.

#ifndef SERVICES_FORWARDER_TOPIC_CONTROLLER_H_
#define SERVICES_FORWARDER_TOPIC_CONTROLLER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/event_ring.h"
#include "LibCore/random_source.h"
#include "LibForwarding/topic_relay.h"
#include "LibHttp/client.h"
#include "LibMembership/application_kind.h"
#include "LibMembership/member.h"
#include "LibPlatform/scheduler.h"
#include "LibPlatform/topic_view.h"
#include "Services/Forwarder/fleet_roles.h"
#include "Services/Forwarder/fleet_topic_controller.h"
#include "Services/Forwarder/forwarder_settings.h"

namespace wasabi::forwarder {

// A topic whose records are relayed between hosts. The objects behind the
// pointers must outlive the TopicController.
struct RelayedTopic {
  platform::TopicView* view = nullptr;
  forwarding::TopicRelay* relay = nullptr;
  // Whether changes must reach all hosts at once, within the bounds on leaving
  // endpoints and configurations.
  bool is_urgent = true;
};

// The dependencies of a TopicController. All of them must outlive it.
struct TopicContext {
  platform::Scheduler* scheduler = nullptr;
  core::EventRing* events = nullptr;
  http::Client* client = nullptr;
  const FleetTopicController* fleet_topic = nullptr;
};

class TopicController {
 public:
  using SendFunction = std::function<void(const std::vector<core::HostId>& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;

  TopicController(const TopicContext& context,
                  const ForwarderSettings& settings,
                  SendFunction send);

  // Sets the topics to refresh, report and serve as copies from now on.
  void SetTopics(std::vector<RelayedTopic> topics);
  void SetRoles(FleetRoles roles) { roles_ = std::move(roles); }
  // Applies the staleness bounds of reloaded settings. Other settings keep
  // their values.
  void UpdateBounds(const ForwarderSettings& settings);

  // Reads, fetches and reports what is due. Must be called every few ten
  // milliseconds.
  void Tick();
  // Handles a topic report of another host. Error: kMalformedMessage.
  absl::Status OnReport(const membership::Member& from, std::string_view body);

  // Returns this host's copy of the topic with the number `topic`, encoded and
  // compressed, or "" if the topic is unknown or not loaded yet.
  std::string EncodedCopy(uint8_t topic);
  // Returns the latest history of the platform's log that a view belongs to.
  platform::LogEpoch LatestEpoch() const;
  // Returns the number of calls that this host has made to the platform.
  uint64_t platform_calls() const;

 private:
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

  void RefreshTopics();
  // Returns the longest delay between two attempts to read while the platform
  // does not respond.
  core::Duration MaximumBackoff() const;
  // Returns whether this host is the reader of the fleet, as far as it knows
  // the fleet.
  bool IsReader() const;
  // Returns true if this host currently reads `topic` from the platform on
  // behalf of the fleet.
  bool IsActingReader(const RelayedTopic& topic) const;
  // Returns the view age from which this host reads the platform itself.
  core::Duration FallbackAge() const;
  // Returns whether this host may read the topic from the platform itself.
  // While a copy from another host can be expected, it may not.
  bool MayRead(const RelayedTopic& topic) const;
  // Returns this host's random share of a time for which it waits for copies.
  core::Duration ShareOf(core::Duration patience) const;
  void SendTopicReports();
  core::Duration TopicReportInterval(size_t receivers) const;
  // Schedules a fetch of the topic's copy from a host that has newer records.
  void FetchCopy(const membership::Member& from, const RelayedTopic& topic);
  void StartDueFetches();
  void SendFetch(const PendingFetch& fetch);
  // Records the number of calls to the platform if it has changed.
  void RecordPlatformCalls();

  const TopicContext context_;
  ForwarderSettings settings_;
  const SendFunction send_;
  core::RandomSource random_;
  const FleetTopicController* const fleet_topic_;
  FleetRoles roles_;
  std::vector<RelayedTopic> topics_;
  // Numbers of the topics whose copy is being fetched.
  std::set<uint8_t> fetches_in_flight_;
  std::vector<PendingFetch> pending_fetches_;
  // The earliest time of the next fetch, by topic number.
  std::map<uint8_t, core::TimePoint> next_fetch_at_;
  // The latest encoded copy of each topic, by topic number.
  std::map<uint8_t, CachedCopy> copies_;
  core::TimePoint next_report_to_relays_at_{};
  core::TimePoint next_report_to_peers_at_{};
  std::string recorded_calls_;
  core::TimePoint next_calls_record_at_{};
  const core::TimePoint started_at_;
  // When the fleet topic was first loaded.
  core::TimePoint fleet_topic_loaded_at_{};
  // Share of the time for which a starting host waits for copies, from 0 to 1.
  const double patience_share_;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_TOPIC_CONTROLLER_H_
