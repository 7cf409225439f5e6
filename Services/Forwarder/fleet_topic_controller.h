// Registers this host in the fleet's own topic of the platform, and keeps the
// gossip addresses that all hosts registered there. Hosts accept gossip from
// these addresses only.

#ifndef SERVICES_FORWARDER_FLEET_TOPIC_CONTROLLER_H_
#define SERVICES_FORWARDER_FLEET_TOPIC_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "LibCore/event_ring.h"
#include "LibCore/random_source.h"
#include "LibCore/socket_address.h"
#include "LibForwarding/adapter_set.h"
#include "LibForwarding/topic_relay.h"
#include "LibPlatform/scheduler.h"
#include "LibPlatform/topic_view.h"
#include "Services/Forwarder/forwarder_settings.h"

namespace wasabi::forwarder {

class FleetTopicController {
 public:
  // Called when an address was added.
  using Observer = std::function<void()>;

  // The objects passed by pointer must outlive the controller. `random_seed`
  // seeds the jitter of retries.
  FleetTopicController(const forwarding::AdapterSet* adapters,
                       platform::Scheduler* scheduler,
                       core::EventRing* events,
                       const ForwarderSettings& settings,
                       uint64_t random_seed);

  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  // Registers this host if that is due. `epoch` is the latest known history of
  // the platform's log; a registration in an earlier one may have been lost.
  // Must be called periodically.
  void Tick(platform::LogEpoch epoch);

  // Returns the gossip addresses of the other hosts that were ever seen in the
  // topic, and those in the settings.
  const std::vector<core::SocketAddress>& addresses() const {
    return addresses_;
  }
  // Returns the hosts that were ever seen in the topic.
  const std::vector<core::HostId>& hosts() const { return hosts_; }
  // Returns the number of attempts to register.
  uint64_t writes() const { return writes_; }
  platform::TopicView* view() const { return view_.get(); }
  forwarding::TopicRelay* relay() { return &relay_; }

 private:
  void Register();
  void OnRegistered(const absl::StatusOr<platform::LogEpoch>& written);
  // Returns whether the record's address was added.
  bool AddAddress(const platform::KeyedRecord& record);
  // Returns a random time of at most `limit`.
  core::Duration RandomTime(core::Duration limit);

  const forwarding::AdapterSet* const adapters_;
  platform::Scheduler* const scheduler_;
  core::EventRing* const events_;
  const core::HostId host_;
  const core::SocketAddress own_address_;
  core::RandomSource random_;
  std::vector<core::SocketAddress> addresses_;
  std::vector<core::HostId> hosts_;
  forwarding::TopicRelay relay_;
  std::shared_ptr<platform::TopicView> view_;
  Observer observer_;
  core::TimePoint next_registration_at_{};
  bool is_registered_ = false;
  bool is_registering_ = false;
  // History of the log in which this host last registered.
  platform::LogEpoch registered_epoch_ = 0;
  uint64_t writes_ = 0;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_FLEET_TOPIC_CONTROLLER_H_
