// Keeps the endpoint table up to date from the registrations that endpoints
// write to the platform.

#ifndef SERVICES_FORWARDER_REGISTRATION_CONTROLLER_H_
#define SERVICES_FORWARDER_REGISTRATION_CONTROLLER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_ring.h"
#include "LibForwarding/adapter_set.h"
#include "LibForwarding/endpoint_registry.h"
#include "LibForwarding/topic_relay.h"
#include "LibPlatform/topic_view.h"

namespace wasabi::forwarder {

class RegistrationController {
 public:
  // The objects passed by pointer must outlive the controller. `leaving_bound`
  // is the time within which a registration change reaches every host that is
  // connected to the platform, directly or through other hosts. `random_seed`
  // seeds the jitter of the topic view's retry backoff. `cold_endpoints` is
  // told of the registrations; it may be nullptr.
  RegistrationController(const forwarding::AdapterSet* adapters,
                         platform::Scheduler* scheduler,
                         core::EventRing* events,
                         forwarding::EndpointTable* endpoints,
                         core::Duration leaving_bound,
                         uint64_t random_seed,
                         forwarding::ColdEndpoints* cold_endpoints = nullptr);

  // Removes endpoints whose grace period has expired. Must be called
  // periodically.
  void Tick();

  platform::TopicView* view() { return view_.get(); }
  forwarding::TopicRelay* relay() { return &relay_; }

 private:
  void OnSnapshot(const std::vector<platform::KeyedRecord>& records);
  void OnRecord(const platform::KeyedRecord& record);
  // Returns true if other hosts need the record.
  bool ApplyRecord(const platform::KeyedRecord& record);
  // Returns how long an endpoint stays in the table after its registration is
  // removed now. Zero unless the view has just recovered from an outage.
  core::Duration RemainingGrace() const;
  // Treats the endpoint of a record that describes none as gone, and writes a
  // line to the log unless the last one had the same content. Returns true if
  // other hosts need to know.
  bool Skip(const platform::KeyedRecord& record, const absl::Status& status);

  const forwarding::AdapterSet* const adapters_;
  platform::Scheduler* const scheduler_;
  core::EventRing* const events_;
  forwarding::EndpointRegistry registry_;
  forwarding::TopicRelay relay_;
  // Records that describe no endpoint, with a hash of their values.
  std::map<std::string, uint64_t> skipped_;
  std::shared_ptr<platform::TopicView> view_;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_REGISTRATION_CONTROLLER_H_
