// Keeps this host's routing configuration up to date from the configuration
// topic. A configuration replaces the current one only if its version is
// higher.

#ifndef SERVICES_FORWARDER_CONFIGURATION_CONTROLLER_H_
#define SERVICES_FORWARDER_CONFIGURATION_CONTROLLER_H_

#include <functional>
#include <memory>

#include "LibCore/event_ring.h"
#include "LibForwarding/adapter_set.h"
#include "LibForwarding/route_table.h"
#include "LibForwarding/topic_relay.h"
#include "LibPlatform/topic_view.h"

namespace wasabi::forwarder {

class ConfigurationController {
 public:
  using Observer = std::function<void(const forwarding::RouteTableView&)>;

  // The objects passed by pointer must outlive the controller. `random_seed`
  // seeds the jitter of the topic view's retry backoff.
  ConfigurationController(const forwarding::AdapterSet* adapters,
                          platform::Scheduler* scheduler,
                          core::EventRing* events,
                          uint64_t random_seed);

  // Sets the callback that runs on the event loop whenever a new configuration
  // takes effect.
  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  // Returns the configuration in effect, or nullptr if none has been loaded
  // yet.
  const forwarding::RouteTableView& current() const { return current_; }
  platform::TopicView* view() { return view_.get(); }
  forwarding::TopicRelay* relay() { return &relay_; }

 private:
  void Apply(const platform::KeyedRecord& record);

  const forwarding::AdapterSet* const adapters_;
  core::EventRing* const events_;
  forwarding::TopicRelay relay_;
  forwarding::RouteTableView current_;
  Observer observer_;
  std::shared_ptr<platform::TopicView> view_;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_CONFIGURATION_CONTROLLER_H_
