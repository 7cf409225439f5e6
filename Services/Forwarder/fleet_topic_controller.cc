#include "Services/Forwarder/fleet_topic_controller.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "LibCore/text.h"
#include "LibPlatform/record_text.h"
#include "Services/Forwarder/topic_numbers.h"

namespace wasabi::forwarder {

namespace {

// A failed registration is tried again after between one and two of these. The
// jitter spreads the hosts of a large fleet that start together.
constexpr core::Duration kRetryInterval = core::milliseconds(500);
// The hosts register again within this time after the platform was restored.
// The platform makes the appends to one topic one by one.
constexpr core::Duration kReregistrationSpread = core::seconds(3);
// Maximum size in bytes of the records of one report, so that it fits in a
// datagram.
constexpr size_t kReportBytes = 1100;

// Returns the address in a record, or nullopt if it is not written as hosts
// write it or nobody can listen there.
std::optional<core::SocketAddress> AddressOf(const std::string& text) {
  const auto address = core::SocketAddress::Parse(text);
  const bool is_usable = address.ok() && address->ip() != 0 &&
                         address->port() != 0 && address->ToString() == text;
  return is_usable ? std::optional(*address) : std::nullopt;
}

}  // namespace

FleetTopicController::FleetTopicController(
    const forwarding::AdapterSet* adapters,
    platform::Scheduler* scheduler,
    core::EventRing* events,
    const ForwarderSettings& settings,
    uint64_t random_seed)
    : adapters_(adapters),
      scheduler_(scheduler),
      events_(events),
      host_(settings.host),
      own_address_(settings.gossip_address),
      random_(random_seed),
      relay_(kFleetTopicNumber, kReportBytes) {
  std::copy_if(
      settings.seeds.begin(), settings.seeds.end(),
      std::back_inserter(addresses_),
      [this](const core::SocketAddress& it) { return it != own_address_; });
  platform::TopicViewHandlers handlers;
  handlers.on_snapshot =
      [this](const std::vector<platform::KeyedRecord>& records) {
        relay_.RecordSnapshot(view_->next());
        const auto added =
            std::count_if(records.begin(), records.end(),
                          [this](const auto& it) { return AddAddress(it); });
        if (added > 0 && observer_) {
          observer_();
        }
      };
  handlers.on_record = [this](const platform::KeyedRecord& record) {
    if (!AddAddress(record)) {
      return;
    }
    relay_.RecordChange(record, scheduler_->Now());
    if (observer_) {
      observer_();
    }
  };
  handlers.on_event = [this](core::EventCode code, const std::string& detail) {
    events_->Record(code, "", detail);
  };
  view_ = std::make_shared<platform::TopicView>(
      adapters->topics.get(), scheduler,
      platform::TopicViewOptions{.topic = adapters->names.fleet,
                                 .seed = random_.Next()},
      std::move(handlers));
}

bool FleetTopicController::AddAddress(const platform::KeyedRecord& record) {
  const auto address = AddressOf(record.value.value_or(""));
  if (!address) {
    events_->Record(core::EventCode::kRecordSkipped, "",
                    "topic=fleet host=" + platform::PrintableText(record.key));
    return false;
  }
  const core::HostId host(record.key);
  if (std::find(hosts_.begin(), hosts_.end(), host) == hosts_.end()) {
    hosts_.push_back(host);
  }
  if (*address == own_address_ ||
      std::find(addresses_.begin(), addresses_.end(), *address) !=
          addresses_.end()) {
    return false;
  }
  addresses_.push_back(*address);
  return true;
}

void FleetTopicController::Tick(platform::LogEpoch epoch) {
  if (is_registered_ && epoch > registered_epoch_) {
    is_registered_ = false;
    registered_epoch_ = epoch;
    next_registration_at_ =
        scheduler_->Now() + RandomTime(kReregistrationSpread);
  }
  if (!is_registered_ && !is_registering_ &&
      scheduler_->Now() >= next_registration_at_) {
    Register();
  }
}

void FleetTopicController::Register() {
  is_registering_ = true;
  ++writes_;
  adapters_->topics->Put(
      adapters_->names.fleet, host_.value(), own_address_.ToString(),
      [this](const absl::StatusOr<platform::LogEpoch>& written) {
        OnRegistered(written);
      });
}

void FleetTopicController::OnRegistered(
    const absl::StatusOr<platform::LogEpoch>& written) {
  is_registering_ = false;
  is_registered_ = written.ok();
  if (written.ok()) {
    registered_epoch_ = std::max(registered_epoch_, *written);
    return;
  }
  next_registration_at_ =
      scheduler_->Now() + kRetryInterval + RandomTime(kRetryInterval);
  events_->Record(core::EventCode::kPlatformDown, "",
                  "topic=fleet error=" + core::MessageOf(written.status()));
}

core::Duration FleetTopicController::RandomTime(core::Duration limit) {
  return core::FromSeconds(core::ToSeconds(limit) * random_.Unit());
}

}  // namespace wasabi::forwarder
