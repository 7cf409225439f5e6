#include "Services/Forwarder/configuration_controller.h"

#include <algorithm>
#include <utility>

#include "LibCore/text.h"
#include "Services/Forwarder/topic_numbers.h"

namespace wasabi::forwarder {

namespace {

// Reports carry records up to this many bytes, which evacuations fit into. A
// configuration does not: reports announce its offset, and the receivers fetch
// a copy.
constexpr size_t kReportBytes = 300;

core::EventCode CodeOf(forwarding::EvacuationChangeKind kind) {
  switch (kind) {
    case forwarding::EvacuationChangeKind::kBegan:
      return core::EventCode::kEvacuationInForce;
    case forwarding::EvacuationChangeKind::kRetained:
      return core::EventCode::kEvacuationRetained;
    case forwarding::EvacuationChangeKind::kEnded:
      return core::EventCode::kEvacuationRemoved;
  }
  return core::EventCode::kEvacuationInForce;
}

}  // namespace

ConfigurationController::ConfigurationController(
    const forwarding::AdapterSet* adapters,
    platform::Scheduler* scheduler,
    core::EventRing* events,
    uint64_t random_seed)
    : adapters_(adapters),
      scheduler_(scheduler),
      created_at_(scheduler->Now()),
      events_(events),
      relay_(kConfigurationTopicNumber, kReportBytes) {
  platform::TopicViewHandlers handlers;
  handlers.on_snapshot =
      [this](const std::vector<platform::KeyedRecord>& records) {
        relay_.RecordSnapshot(view_->next());
        ApplySnapshot(records);
      };
  handlers.on_record = [this, scheduler](const platform::KeyedRecord& record) {
    relay_.RecordChange(record, scheduler->Now());
    if (!ApplyEvacuation(record)) {
      Apply(record);
    }
  };
  handlers.on_reachable = [this](bool is_reachable) {
    events_->Record(is_reachable ? core::EventCode::kPlatformUp
                                 : core::EventCode::kPlatformDown,
                    "", "topic=configuration");
  };
  handlers.on_event = [this](core::EventCode code, const std::string& detail) {
    was_truncated_ =
        was_truncated_ || code == core::EventCode::kLogWentBackwards;
    events_->Record(code, "", detail);
  };
  view_ = std::make_shared<platform::TopicView>(
      adapters->topics.get(), scheduler,
      platform::TopicViewOptions{.topic = adapters->names.configuration,
                                 .seed = random_seed},
      std::move(handlers));
}

void ConfigurationController::ApplySnapshot(
    const std::vector<platform::KeyedRecord>& records) {
  std::vector<forwarding::EvacuationRecord> evacuations;
  for (const platform::KeyedRecord& it : records) {
    const auto data_centre = adapters_->records->EvacuatedDataCentre(it.key);
    if (data_centre && it.value) {
      RecordEvacuationRead(*data_centre, it);
      evacuations.push_back({.data_centre = *data_centre, .offset = it.offset});
    }
  }
  const bool is_new_history = epoch_ != 0 && view_->epoch() > epoch_;
  epoch_ = view_->epoch();
  OnEvacuationChanges(evacuations_.Replace(
      evacuations, view_->next(),
      is_new_history || std::exchange(was_truncated_, false),
      scheduler_->Now()));
  for (const platform::KeyedRecord& it : records) {
    Apply(it);
  }
}

bool ConfigurationController::ApplyEvacuation(
    const platform::KeyedRecord& record) {
  const auto data_centre = adapters_->records->EvacuatedDataCentre(record.key);
  if (!data_centre) {
    return false;
  }
  RecordEvacuationRead(*data_centre, record);
  const forwarding::EvacuationRecord evacuation{.data_centre = *data_centre,
                                                .offset = record.offset};
  OnEvacuationChanges(record.value ? evacuations_.Put(evacuation)
                                   : evacuations_.Drop(evacuation));
  return true;
}

void ConfigurationController::RecordEvacuationRead(
    const core::DataCentreId& data_centre,
    const platform::KeyedRecord& record) {
  events_->Record(core::EventCode::kEvacuationRead, "",
                  fmt::format("data_centre={} offset={} epoch={} is_dropped={}",
                              data_centre.value(), record.offset,
                              view_->epoch(), !record.value.has_value()));
}

void ConfigurationController::OnEvacuationChanges(
    const forwarding::EvacuationSet::Changes& changes) {
  if (changes.empty()) {
    return;
  }
  const auto evacuated = evacuations_.data_centres();
  if (evacuation_observer_) {
    evacuation_observer_(evacuated);
  }
  // The first snapshot has just been read.
  const core::TimePoint confirmed_at =
      std::max(view_->confirmed_at(), created_at_);
  std::vector<std::string> names;
  for (const core::DataCentreId& it : evacuated) {
    names.push_back(it.value());
  }
  for (const forwarding::EvacuationChange& it : changes) {
    events_->Record(
        CodeOf(it.kind), "",
        fmt::format("data_centre={} evacuated={} next={} age_ms={}",
                    it.data_centre.value(), fmt::join(names, ","),
                    view_->next(),
                    core::ToMilliseconds(scheduler_->Now() - confirmed_at)));
  }
}

void ConfigurationController::Tick() {
  OnEvacuationChanges(evacuations_.Expire(scheduler_->Now()));
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
