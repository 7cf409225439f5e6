#include "Services/Forwarder/configuration_controller.h"

#include <utility>

#include "LibCore/text.h"
#include "Services/Forwarder/topic_numbers.h"

namespace wasabi::forwarder {

ConfigurationController::ConfigurationController(
    const forwarding::AdapterSet* adapters,
    platform::Scheduler* scheduler,
    core::EventRing* events,
    uint64_t random_seed)
    // A configuration does not fit in a datagram, so reports carry no records.
    // They only announce the new offset, and the receivers fetch a copy.
    : adapters_(adapters),
      events_(events),
      relay_(kConfigurationTopicNumber, 0) {
  platform::TopicViewHandlers handlers;
  handlers.on_snapshot =
      [this](const std::vector<platform::KeyedRecord>& records) {
        relay_.RecordSnapshot(view_->next());
        for (const platform::KeyedRecord& it : records) {
          Apply(it);
        }
      };
  handlers.on_record = [this, scheduler](const platform::KeyedRecord& record) {
    relay_.RecordChange(record, scheduler->Now());
    Apply(record);
  };
  handlers.on_reachable = [this](bool is_reachable) {
    events_->Record(is_reachable ? core::EventCode::kPlatformUp
                                 : core::EventCode::kPlatformDown,
                    "", "topic=configuration");
  };
  handlers.on_event = [this](core::EventCode code, const std::string& detail) {
    events_->Record(code, "", detail);
  };
  view_ = std::make_shared<platform::TopicView>(
      adapters->topics.get(), scheduler,
      platform::TopicViewOptions{.topic = adapters->names.configuration,
                                 .seed = random_seed},
      std::move(handlers));
}

void ConfigurationController::Apply(const platform::KeyedRecord& record) {
  if (record.key != adapters_->names.configuration_key || !record.value) {
    return;
  }
  const auto table = adapters_->records->DecodeConfiguration(*record.value);
  if (!table.ok()) {
    events_->Record(
        core::EventCode::kRecordSkipped, "",
        fmt::format("topic=configuration offset={} error={}", record.offset,
                    core::MessageOf(table.status())));
    return;
  }
  if (current_ != nullptr && (*table)->version() <= current_->version()) {
    return;
  }
  current_ = *table;
  events_->Record(
      core::EventCode::kConfigurationApplied, "",
      fmt::format("version={} offset={} routes={}", current_->version(),
                  record.offset, current_->routes().size()));
  if (observer_) {
    observer_(current_);
  }
}

}  // namespace wasabi::forwarder
