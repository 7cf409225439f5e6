#include "Services/Forwarder/registration_controller.h"

#include <algorithm>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/text.h"
#include "LibPlatform/record_text.h"
#include "Services/Forwarder/topic_numbers.h"

namespace wasabi::forwarder {

namespace {

// Grace period after the view recovers from an outage. Endpoints whose
// registration expired during a platform outage register again within about two
// seconds after the platform is back.
constexpr core::Duration kReregistrationGrace = core::milliseconds(2100);
// A view older than this multiple of the leaving bound indicates an outage.
constexpr double kOutageAgeFactor = 1.15;
// Minimum interval of reads, as a share of the leaving bound. Heartbeats end
// every long poll at once, so a shorter interval only costs calls.
constexpr double kReadIntervalShare = 0.075;
// Maximum size in bytes of the records of one report, so that it fits in a
// datagram.
constexpr size_t kReportBytes = 1100;

}  // namespace

RegistrationController::RegistrationController(
    const forwarding::AdapterSet* adapters,
    platform::Scheduler* scheduler,
    core::EventRing* events,
    forwarding::EndpointTable* endpoints,
    core::Duration leaving_bound,
    uint64_t random_seed,
    forwarding::ColdEndpoints* cold_endpoints)
    : adapters_(adapters),
      scheduler_(scheduler),
      events_(events),
      registry_(endpoints, cold_endpoints),
      relay_(kRegistrationTopicNumber, kReportBytes) {
  platform::TopicViewHandlers handlers;
  handlers.on_snapshot =
      [this](const std::vector<platform::KeyedRecord>& records) {
        OnSnapshot(records);
      };
  handlers.on_record = [this](const platform::KeyedRecord& record) {
    OnRecord(record);
  };
  handlers.on_reachable = [this](bool is_reachable) {
    events_->Record(is_reachable ? core::EventCode::kPlatformUp
                                 : core::EventCode::kPlatformDown,
                    "", "topic=registrations");
  };
  handlers.on_event = [this](core::EventCode code, const std::string& detail) {
    events_->Record(code, "", detail);
  };
  view_ = std::make_shared<platform::TopicView>(
      adapters->topics.get(), scheduler,
      platform::TopicViewOptions{
          .topic = adapters->names.registrations,
          .minimum_interval = core::FromSeconds(core::ToSeconds(leaving_bound) *
                                                kReadIntervalShare),
          .outage_age = core::FromSeconds(core::ToSeconds(leaving_bound) *
                                          kOutageAgeFactor),
          .seed = random_seed},
      std::move(handlers));
}

void RegistrationController::Tick() {
  registry_.Expire(scheduler_->Now());
}

void RegistrationController::OnSnapshot(
    const std::vector<platform::KeyedRecord>& records) {
  std::vector<forwarding::Registration> registrations;
  const auto skipped_before = std::exchange(skipped_, {});
  for (const platform::KeyedRecord& it : records) {
    if (!it.value) {
      continue;
    }
    auto registration =
        adapters_->records->DecodeRegistration(it.key, *it.value);
    if (!registration.ok()) {
      const auto before = skipped_before.find(it.key);
      if (before != skipped_before.end()) {
        skipped_.insert(*before);
      }
      Skip(it, registration.status());
      continue;
    }
    registrations.push_back(*std::move(registration));
  }
  registry_.Replace(registrations, RemainingGrace(), scheduler_->Now());
  relay_.RecordSnapshot(view_->next());
  events_->Record(core::EventCode::kEndpointChanged, "",
                  fmt::format("snapshot registrations={} next={}",
                              registrations.size(), view_->next()));
}

void RegistrationController::OnRecord(const platform::KeyedRecord& record) {
  if (!ApplyRecord(record)) {
    return;
  }
  platform::KeyedRecord relayed = record;
  if (skipped_.contains(record.key)) {
    // To the other hosts, the endpoint is gone.
    relayed.value.reset();
  }
  relay_.RecordChange(relayed, scheduler_->Now());
  events_->Record(
      core::EventCode::kEndpointChanged, "",
      fmt::format("endpoint={} offset={} is_dropped={} registration={}",
                  platform::PrintableText(record.key), record.offset,
                  !record.value.has_value(),
                  platform::PrintableText(record.value.value_or(""))));
}

bool RegistrationController::ApplyRecord(const platform::KeyedRecord& record) {
  const core::TimePoint now = scheduler_->Now();
  const core::RunnerId id(record.key);
  if (!record.value) {
    skipped_.erase(record.key);
    // A removal during the grace period does not change the table yet, but
    // other hosts must receive it.
    const core::Duration grace = RemainingGrace();
    return registry_.Drop(id, grace, now) || grace > core::Duration::zero();
  }
  const auto registration =
      adapters_->records->DecodeRegistration(record.key, *record.value);
  if (!registration.ok()) {
    return Skip(record, registration.status());
  }
  skipped_.erase(record.key);
  const forwarding::RegistryOutcome outcome = registry_.Put(*registration, now);
  if (outcome == forwarding::RegistryOutcome::kLate) {
    events_->Record(
        core::EventCode::kRecordSkipped, "",
        fmt::format("topic=registrations endpoint={} offset={} "
                    "out-of-order sequence={} started_at_ms={}",
                    record.key, record.offset, registration->sequence,
                    registration->endpoint.started_at_ms));
  }
  return outcome == forwarding::RegistryOutcome::kChanged;
}

core::Duration RegistrationController::RemainingGrace() const {
  if (view_->recovered_at() == core::TimePoint()) {
    return core::Duration::zero();
  }
  // The grace period starts at the recovery, not at the removal. Otherwise an
  // endpoint that leaves after an outage would stay in the table for too long.
  const core::TimePoint ends_at = view_->recovered_at() + kReregistrationGrace;
  return std::max(ends_at - scheduler_->Now(), core::Duration::zero());
}

bool RegistrationController::Skip(const platform::KeyedRecord& record,
                                  const absl::Status& status) {
  view_->Forget(record.key);
  const uint64_t content = core::StableHash(*record.value);
  const auto [it, is_new] = skipped_.try_emplace(record.key, content);
  if (is_new || it->second != content) {
    it->second = content;
    events_->Record(core::EventCode::kRecordSkipped, "",
                    fmt::format("topic=registrations endpoint={} error={}",
                                platform::PrintableText(record.key),
                                core::MessageOf(status)));
  }
  return registry_.Drop(core::RunnerId(record.key), core::Duration::zero(),
                        scheduler_->Now());
}

}  // namespace wasabi::forwarder
