#include "Services/Forwarder/fleet_controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibCore/message.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibMembership/application_kind.h"
#include "LibMembership/gossip_message.h"

namespace wasabi::forwarder {

namespace {

using membership::ApplicationKind;
using membership::Member;
using membership::MemberState;

constexpr core::Duration kTick = core::milliseconds(50);
// Reports go out this often in a small fleet, and less often in a large one, so
// that their bytes stay below kReportRate.
constexpr core::Duration kMinTopicInterval = core::milliseconds(200);
constexpr core::Duration kMinLoadInterval = core::milliseconds(100);
constexpr double kReportRate = 5000;
// A report of an idle topic with its headers.
constexpr double kTopicReportBytes = 60;
constexpr double kLoadReportBytes = 160;
// A host whose view is older than this reads the platform by itself: well
// under the bounds on leaving endpoints and configurations, with time for a
// second try.
constexpr double kFallbackShare = 0.45;
// The fleet's own topic is needed only by hosts that know no others.
constexpr core::Duration kFleetTopicAge = core::seconds(30);
constexpr core::Duration kRegistrationRetry = core::milliseconds(500);
// A data centre with fewer hosts that take requests is helped out by others.
constexpr size_t kMinNearHosts = 2;
constexpr int kLoadReportLifetimes = 4;

core::Duration IntervalFor(core::Duration minimum,
                           double bytes,
                           size_t receivers) {
  const double seconds = static_cast<double>(receivers) * bytes / kReportRate;
  return std::max(minimum, core::FromSeconds(seconds));
}

uint64_t RandomSeed(const core::HostId& host) {
  return host.Hash() ^
         static_cast<uint64_t>(
             std::chrono::steady_clock::now().time_since_epoch().count());
}

bool TakesRequests(const Member& member) {
  const bool is_up = member.state == MemberState::kAlive ||
                     member.state == MemberState::kSuspect;
  return is_up && member.applied_offset >= 0;
}

}  // namespace

absl::StatusOr<std::unique_ptr<FleetController>> FleetController::Create(
    core::EventLoop* loop,
    const ForwarderSettings& settings,
    const forwarding::AdapterSet* adapters,
    platform::Scheduler* scheduler,
    core::EventRing* events,
    forwarding::LoadBoard* loads) {
  std::unique_ptr<FleetController> controller(new FleetController(
      loop, settings, adapters, scheduler, events, loads));
  TRY(controller->Start());
  return controller;
}

FleetController::FleetController(core::EventLoop* loop,
                                 const ForwarderSettings& settings,
                                 const forwarding::AdapterSet* adapters,
                                 platform::Scheduler* scheduler,
                                 core::EventRing* events,
                                 forwarding::LoadBoard* loads)
    : loop_(loop),
      settings_(settings),
      adapters_(adapters),
      scheduler_(scheduler),
      events_(events),
      loads_(loads) {}

FleetController::~FleetController() = default;

absl::Status FleetController::Start() {
  membership::GossipOptions options;
  options.self.id = settings_.host;
  options.self.data_centre = settings_.data_centre;
  options.self.gossip_address = settings_.gossip_address;
  options.self.link_address = settings_.gossip_address;
  options.self.http_address = settings_.callers_address;
  TRY_ASSIGN(gossip_,
             membership::GossipNode::Create(
                 loop_, options, RandomSeed(settings_.host), events_));
  gossip_->SetApplicationHandler(
      static_cast<uint8_t>(ApplicationKind::kTopicReport),
      [this](const Member& /*from*/, std::string_view body) {
        return OnTopicReport(body);
      });
  gossip_->SetApplicationHandler(
      static_cast<uint8_t>(ApplicationKind::kEndpointLoads),
      [this](const Member& from, std::string_view body) {
        return OnLoadReport(from, body);
      });
  StartFleetTopic();
  ticker_ = loop_->NewTimer([this]() { Tick(); });
  ticker_->StartRepeating(kTick);
  return absl::OkStatus();
}

void FleetController::StartFleetTopic() {
  platform::TopicViewHandlers handlers;
  const auto add_seed = [this](const platform::KeyedRecord& record) {
    const auto address = core::SocketAddress::Parse(record.value.value_or(""));
    if (address.ok() && *address != settings_.gossip_address &&
        std::find(seeds_.begin(), seeds_.end(), *address) == seeds_.end()) {
      seeds_.push_back(*address);
    }
  };
  handlers.on_snapshot =
      [this, add_seed](const std::vector<platform::KeyedRecord>& records) {
        for (const platform::KeyedRecord& it : records) {
          add_seed(it);
        }
        gossip_->SetSeeds(seeds_);
      };
  handlers.on_record = [this, add_seed](const platform::KeyedRecord& record) {
    add_seed(record);
    gossip_->SetSeeds(seeds_);
  };
  fleet_topic_ = std::make_shared<platform::TopicView>(
      adapters_->topics.get(), scheduler_,
      platform::TopicViewOptions{.topic = adapters_->names.fleet,
                                 .seed = RandomSeed(settings_.host)},
      std::move(handlers));
}

void FleetController::SetTopics(std::vector<RelayedTopic> topics) {
  topics_ = std::move(topics);
}

void FleetController::UpdateBounds(const ForwarderSettings& settings) {
  settings_.leaving_bound = settings.leaving_bound;
  settings_.configuration_bound = settings.configuration_bound;
}

void FleetController::AnnounceReady() {
  constexpr int64_t kReadyOffset = 0;
  gossip_->SetAppliedOffset(kReadyOffset);
}

void FleetController::AnnounceLeaving() {
  gossip_->AnnounceLeaving();
}

std::vector<core::SocketAddress> FleetController::CallerAddresses(
    const core::DataCentreId& data_centre) const {
  std::vector<core::SocketAddress> near;
  std::vector<core::SocketAddress> all;
  const membership::MemberTableView table = gossip_->table();
  for (const Member& it : table->members()) {
    if (!TakesRequests(it)) {
      continue;
    }
    all.push_back(it.http_address);
    if (it.data_centre == data_centre) {
      near.push_back(it.http_address);
    }
  }
  return near.size() >= kMinNearHosts ? near : all;
}

size_t FleetController::host_count() const {
  return std::max(gossip_->table()->members().size(), seeds_.size() + 1);
}

void FleetController::Register() {
  const core::TimePoint now = loop_->Now();
  if (is_registered_ || is_registering_ || now < next_registration_at_) {
    return;
  }
  is_registering_ = true;
  next_registration_at_ = now + kRegistrationRetry;
  adapters_->topics->Put(
      adapters_->names.fleet, settings_.host.value(),
      settings_.gossip_address.ToString(), [this](const absl::Status& status) {
        is_registering_ = false;
        is_registered_ = status.ok();
        if (!status.ok()) {
          events_->Record(core::EventCode::kPlatformDown, "",
                          "topic=fleet error=" + core::MessageOf(status));
        }
      });
}

void FleetController::Tick() {
  Register();
  RefreshTopics();
  SendTopicReports();
  SendLoadReport();
}

bool FleetController::IsReader() const {
  const Member* owner = gossip_->table()->OwnerWithin(
      "platform-reader", membership::MemberRole::kRouter,
      settings_.data_centre);
  return owner == nullptr || owner->id == settings_.host;
}

void FleetController::RefreshTopics() {
  const bool is_reader = IsReader();
  const core::Duration fallback = core::FromSeconds(
      core::ToSeconds(std::min(settings_.leaving_bound,
                               settings_.configuration_bound)) *
      kFallbackShare);
  for (const RelayedTopic& it : topics_) {
    it.view->RefreshIfOlder(is_reader ? it.reader_age : fallback);
  }
  const bool knows_others = gossip_->table()->members().size() > 1;
  fleet_topic_->RefreshIfOlder(knows_others ? kFleetTopicAge
                                            : kRegistrationRetry);
}

void FleetController::SendTopicReports() {
  const core::TimePoint now = loop_->Now();
  if (now < next_topic_report_at_ || !IsReader()) {
    return;
  }
  const std::vector<const Member*> peers = Peers(true);
  next_topic_report_at_ =
      now + IntervalFor(kMinTopicInterval, kTopicReportBytes * 2, peers.size());
  for (const RelayedTopic& it : topics_) {
    if (!it.view->is_loaded()) {
      continue;
    }
    const std::string body = core::Encode(it.relay->MakeReport(*it.view, now));
    for (const Member* peer : peers) {
      SendTo(*peer, static_cast<uint8_t>(ApplicationKind::kTopicReport), body);
    }
  }
}

void FleetController::SendLoadReport() {
  const core::TimePoint now = loop_->Now();
  const std::vector<const Member*> peers = Peers(false);
  const core::Duration interval =
      IntervalFor(kMinLoadInterval, kLoadReportBytes, peers.size());
  loads_->Expire(interval * kLoadReportLifetimes, now);
  if (now < next_load_report_at_) {
    return;
  }
  next_load_report_at_ = now + interval;
  const std::string body = core::Encode(loads_->MakeReport());
  for (const Member* peer : peers) {
    SendTo(*peer, static_cast<uint8_t>(ApplicationKind::kEndpointLoads), body);
  }
}

absl::Status FleetController::OnTopicReport(std::string_view body) {
  TRY_ASSIGN(const forwarding::TopicReport report,
             core::Decode<forwarding::TopicReport>(body));
  for (const RelayedTopic& it : topics_) {
    if (it.relay->topic() != report.topic) {
      continue;
    }
    const bool is_current = forwarding::ApplyTopicReport(report, it.view);
    if (!is_current && report.next > it.view->next()) {
      it.view->RefreshIfOlder(core::Duration::zero());
    }
  }
  return absl::OkStatus();
}

absl::Status FleetController::OnLoadReport(const Member& from,
                                           std::string_view body) {
  TRY_ASSIGN(const forwarding::LoadReport report,
             core::Decode<forwarding::LoadReport>(body));
  loads_->ApplyReport(from.id, report, loop_->Now());
  return absl::OkStatus();
}

void FleetController::SendTo(const Member& member,
                             uint8_t kind,
                             std::string_view body) {
  // Reports repeat, so one that can't be sent now is made up by the next.
  gossip_->SendApplication(member.id, kind, body).IgnoreError();
}

std::vector<const Member*> FleetController::Peers(bool only_own_centre) const {
  std::vector<const Member*> peers;
  for (const Member& it : gossip_->table()->members()) {
    const bool is_wanted =
        !only_own_centre || it.data_centre == settings_.data_centre;
    if (it.id != settings_.host && it.state != MemberState::kGone &&
        is_wanted) {
      peers.push_back(&it);
    }
  }
  return peers;
}

}  // namespace wasabi::forwarder
