// Keeps this host's routing configuration up to date from the configuration
// topic. A configuration replaces the current one only if its version is
// higher. The topic also holds the evacuations of data centres, which follow
// its offsets.

#ifndef SERVICES_FORWARDER_CONFIGURATION_CONTROLLER_H_
#define SERVICES_FORWARDER_CONFIGURATION_CONTROLLER_H_

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "LibCore/event_ring.h"
#include "LibForwarding/adapter_set.h"
#include "LibForwarding/evacuation_set.h"
#include "LibForwarding/route_table.h"
#include "LibForwarding/topic_relay.h"
#include "LibPlatform/topic_view.h"

namespace wasabi::forwarder {

class ConfigurationController {
 public:
  using Observer = std::function<void(const forwarding::RouteTableView&)>;

  // Receives the evacuated data centres whenever they change.
  using EvacuationObserver =
      std::function<void(const std::set<core::DataCentreId>& evacuated)>;

  // The objects passed by pointer must outlive the controller. `random_seed`
  // seeds the jitter of the topic view's retry backoff.
  ConfigurationController(const forwarding::AdapterSet* adapters,
                          platform::Scheduler* scheduler,
                          core::EventRing* events,
                          uint64_t random_seed);

  // Sets the callback that runs on the event loop whenever a new configuration
  // takes effect.
  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  // Sets the callback that runs on the event loop whenever the set of evacuated
  // data centres changes. Evacuations of a snapshot are applied before its
  // configuration, so that they are known before the first request.
  void SetEvacuationObserver(EvacuationObserver observer) {
    evacuation_observer_ = std::move(observer);
  }

  // Ends evacuations that are retained without a record. Must be called every
  // few ten milliseconds.
  void Tick();

  // Returns the configuration in effect, or nullptr if none has been loaded
  // yet.
  const forwarding::RouteTableView& current() const { return current_; }
  platform::TopicView* view() { return view_.get(); }
  forwarding::TopicRelay* relay() { return &relay_; }

 private:
  void ApplySnapshot(const std::vector<platform::KeyedRecord>& records);
  void Apply(const platform::KeyedRecord& record);
  // Returns false if the record is not about an evacuation.
  bool ApplyEvacuation(const platform::KeyedRecord& record);
  void RecordEvacuationRead(const core::DataCentreId& data_centre,
                            const platform::KeyedRecord& record);
  void OnEvacuationChanges(const forwarding::EvacuationSet::Changes& changes);

  const forwarding::AdapterSet* const adapters_;
  platform::Scheduler* const scheduler_;
  const core::TimePoint created_at_;
  core::EventRing* const events_;
  forwarding::TopicRelay relay_;
  forwarding::RouteTableView current_;
  Observer observer_;
  forwarding::EvacuationSet evacuations_;
  EvacuationObserver evacuation_observer_;
  // The history of the last snapshot that was applied.
  platform::LogEpoch epoch_ = 0;
  // The topic ended before an offset that was already read.
  bool was_truncated_ = false;
  std::shared_ptr<platform::TopicView> view_;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_CONFIGURATION_CONTROLLER_H_
