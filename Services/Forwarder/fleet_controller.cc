#include "Services/Forwarder/fleet_controller.h"

#include <algorithm>
#include <utility>

#include "LibCore/compression.h"
#include "LibCore/message.h"
#include "LibCore/process_seed.h"
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
// How long a read of the platform waits for news. Shorter than the age at which
// other hosts read by themselves.
constexpr core::Duration kReadWait = core::milliseconds(500);
// Reports go out this often in a small fleet, and less often in a large one, so
// that their bytes a second stay below these rates. News goes out at once.
constexpr core::Duration kMinTopicInterval = core::milliseconds(200);
constexpr core::Duration kMinLoadInterval = core::milliseconds(100);
constexpr double kTopicReportRate = 5000;
constexpr double kLoadReportRate = 9000;
// A report of an idle topic, and of the loads, with their headers.
constexpr double kTopicReportBytes = 60;
constexpr double kLoadReportBytes = 85;
// A host reads the platform by itself when its view is older than this share of
// the bounds on leaving endpoints and configurations: the hosts that are next
// in the order of readers first, and all with time for a second try.
constexpr double kFirstFallbackShare = 0.5;
constexpr double kFallbackStep = 0.05;
constexpr size_t kFallbackSteps = 3;
// Hosts of the first ranks pass on what they read.
constexpr size_t kActingRanks = 3;
// While the platform does not answer, the hosts next in the order of readers
// try often and tell the others of its return. The others try as well, since
// the platform may turn away just those, but must not add up to a flood.
constexpr core::Duration kReaderBackoff = core::milliseconds(400);
constexpr core::Duration kOtherBackoff = core::seconds(2);
// The fleet's own topic is needed only by hosts that know no others.
constexpr core::Duration kFleetTopicAge = core::seconds(120);
constexpr core::Duration kFleetTopicRetry = core::milliseconds(500);
constexpr core::Duration kRegistrationRetry = core::milliseconds(500);
constexpr core::Duration kCopyTimeout = core::milliseconds(400);
// Configurations that follow each other quickly are fetched together.
constexpr core::Duration kCopyInterval = core::milliseconds(300);
constexpr size_t kMaxCopyBytes = 16U << 20U;
// Suspects of one crash that fit a datagram.
constexpr size_t kMaxSuspects = 60;
constexpr int kCrashSends = 3;
constexpr core::Duration kCrashSendInterval = core::milliseconds(200);
// A data centre with fewer hosts that take requests is helped out by others.
constexpr size_t kMinNearHosts = 2;
constexpr int kLoadReportLifetimes = 4;

core::Duration IntervalFor(core::Duration minimum,
                           double bytes,
                           size_t receivers,
                           double rate) {
  const double seconds = static_cast<double>(receivers) * bytes / rate;
  return std::max(minimum, core::FromSeconds(seconds));
}

absl::StatusOr<forwarding::TopicCopy> DecodeCopy(
    const absl::StatusOr<http::ClientResponse>& response) {
  if (!response.ok()) {
    return response.status();
  }
  TRY_ASSIGN(const std::string body,
             core::Decompress(response->body, kMaxCopyBytes));
  return core::Decode<forwarding::TopicCopy>(body);
}

bool TakesRequests(const Member& member) {
  const bool is_up = member.state == MemberState::kAlive ||
                     member.state == MemberState::kSuspect;
  return is_up && member.applied_offset >= 0;
}

}  // namespace

absl::StatusOr<std::unique_ptr<FleetController>> FleetController::Create(
    const FleetContext& context,
    const ForwarderSettings& settings) {
  std::unique_ptr<FleetController> controller(
      new FleetController(context, settings));
  TRY(controller->Start());
  return controller;
}

FleetController::FleetController(const FleetContext& context,
                                 const ForwarderSettings& settings)
    : context_(context), settings_(settings) {}

FleetController::~FleetController() = default;

absl::Status FleetController::Start() {
  membership::GossipOptions options;
  options.self.id = settings_.host;
  options.self.data_centre = settings_.data_centre;
  options.self.gossip_address = settings_.gossip_address;
  options.self.link_address = settings_.internal_address;
  options.self.http_address = settings_.callers_address;
  TRY_ASSIGN(gossip_,
             membership::GossipNode::Create(
                 context_.loop, options,
                 core::ProcessSeed(settings_.host.Hash()), context_.events));
  gossip_->OnChange([this](const membership::MemberTableView& table) {
    duties_ = DeriveDuties(*table, settings_.host, settings_.data_centre);
  });
  gossip_->SetApplicationHandler(
      static_cast<uint8_t>(ApplicationKind::kTopicReport),
      [this](const Member& from, std::string_view body) {
        return OnTopicReport(from, body);
      });
  gossip_->SetApplicationHandler(
      static_cast<uint8_t>(ApplicationKind::kEndpointLoads),
      [this](const Member& from, std::string_view body) {
        return OnLoadReport(from, body);
      });
  gossip_->SetApplicationHandler(
      static_cast<uint8_t>(ApplicationKind::kCrashes),
      [this](const Member& /*from*/, std::string_view body) {
        return OnCrashes(body);
      });
  duties_ =
      DeriveDuties(*gossip_->table(), settings_.host, settings_.data_centre);
  for (const core::SocketAddress& it : settings_.seeds) {
    if (it != settings_.gossip_address) {
      seeds_.push_back(it);
    }
  }
  gossip_->SetSeeds(seeds_);
  StartFleetTopic();
  ticker_ = context_.loop->NewTimer([this]() { Tick(); });
  ticker_->StartRepeating(kTick);
  return absl::OkStatus();
}

void FleetController::StartFleetTopic() {
  platform::TopicViewHandlers handlers;
  handlers.on_snapshot =
      [this](const std::vector<platform::KeyedRecord>& records) {
        for (const platform::KeyedRecord& it : records) {
          AddSeed(it);
        }
        gossip_->SetSeeds(seeds_);
      };
  handlers.on_record = [this](const platform::KeyedRecord& record) {
    AddSeed(record);
    gossip_->SetSeeds(seeds_);
  };
  handlers.on_event = [this](core::EventCode code, const std::string& detail) {
    context_.events->Record(code, "", detail);
  };
  fleet_topic_ = std::make_shared<platform::TopicView>(
      context_.adapters->topics.get(), context_.scheduler,
      platform::TopicViewOptions{
          .topic = context_.adapters->names.fleet,
          .seed = core::ProcessSeed(settings_.host.Hash())},
      std::move(handlers));
}

void FleetController::AddSeed(const platform::KeyedRecord& record) {
  const auto address = core::SocketAddress::Parse(record.value.value_or(""));
  if (!address.ok()) {
    context_.events->Record(core::EventCode::kRecordSkipped, "",
                            "topic=fleet host=" + record.key);
    return;
  }
  if (*address != settings_.gossip_address &&
      std::find(seeds_.begin(), seeds_.end(), *address) == seeds_.end()) {
    seeds_.push_back(*address);
  }
}

void FleetController::SetTopics(std::vector<RelayedTopic> topics) {
  topics_ = std::move(topics);
}

std::string FleetController::EncodedCopy(uint8_t topic) const {
  for (const RelayedTopic& it : topics_) {
    if (it.relay->topic() == topic && it.view->is_loaded()) {
      return core::Compress(core::Encode(
          forwarding::MakeTopicCopy(*it.view, context_.loop->Now())));
    }
  }
  return {};
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

core::Duration FleetController::load_report_interval() const {
  return IntervalFor(kMinLoadInterval, kLoadReportBytes, duties_.others.size(),
                     kLoadReportRate);
}

void FleetController::Register() {
  const core::TimePoint now = context_.loop->Now();
  if (is_registered_ || is_registering_ || now < next_registration_at_) {
    return;
  }
  is_registering_ = true;
  next_registration_at_ = now + kRegistrationRetry;
  context_.adapters->topics->Put(
      context_.adapters->names.fleet, settings_.host.value(),
      settings_.gossip_address.ToString(), [this](const absl::Status& status) {
        is_registering_ = false;
        is_registered_ = status.ok();
        if (!status.ok()) {
          context_.events->Record(
              core::EventCode::kPlatformDown, "",
              "topic=fleet error=" + core::MessageOf(status));
        }
      });
}

void FleetController::Tick() {
  Register();
  RefreshTopics();
  SendTopicReports();
  SendLoadReport();
  SendCrashes();
}

core::Duration FleetController::FallbackAge() const {
  const size_t steps = std::min(duties_.reader_rank, kFallbackSteps);
  const double share =
      kFirstFallbackShare + kFallbackStep * static_cast<double>(steps);
  const core::Duration bound =
      std::min(settings_.leaving_bound, settings_.configuration_bound);
  return core::FromSeconds(core::ToSeconds(bound) * share);
}

bool FleetController::IsActingReader(const RelayedTopic& topic) const {
  const core::Duration since_read =
      context_.loop->Now() - topic.view->read_at();
  return duties_.reader_rank == 0 ||
         (duties_.reader_rank < kActingRanks && since_read < 2 * FallbackAge());
}

void FleetController::RefreshTopics() {
  for (const RelayedTopic& it : topics_) {
    it.view->SetMaximumBackoff(
        duties_.reader_rank < kActingRanks ? kReaderBackoff : kOtherBackoff);
    if (duties_.reader_rank == 0) {
      it.view->RefreshIfOlder(core::Duration::zero(), kReadWait);
    } else {
      it.view->RefreshIfOlder(FallbackAge(), core::Duration::zero());
    }
  }
  fleet_topic_->RefreshIfOlder(
      duties_.others.empty() ? kFleetTopicRetry : kFleetTopicAge,
      core::Duration::zero());
}

void FleetController::SendTopicReports() {
  const core::TimePoint now = context_.loop->Now();
  const bool is_due = now >= next_topic_report_at_;
  for (const RelayedTopic& it : topics_) {
    const bool is_wanted = is_due || it.relay->has_news();
    const bool is_reader = IsActingReader(it);
    if (!it.view->is_loaded() || !is_wanted ||
        (!is_reader && !duties_.is_relay)) {
      continue;
    }
    const std::string body = core::Encode(it.relay->MakeReport(*it.view, now));
    constexpr auto kKind = static_cast<uint8_t>(ApplicationKind::kTopicReport);
    if (is_reader) {
      SendTo(duties_.other_relays, kKind, body);
    }
    if (duties_.is_relay) {
      SendTo(duties_.neighbours, kKind, body);
    }
  }
  if (is_due) {
    const size_t receivers =
        duties_.other_relays.size() + duties_.neighbours.size();
    next_topic_report_at_ =
        now +
        IntervalFor(kMinTopicInterval,
                    kTopicReportBytes * static_cast<double>(topics_.size()),
                    receivers, kTopicReportRate);
  }
}

void FleetController::SendLoadReport() {
  const core::TimePoint now = context_.loop->Now();
  const core::Duration interval = load_report_interval();
  context_.loads->Expire(interval * kLoadReportLifetimes, now);
  if (now < next_load_report_at_) {
    return;
  }
  next_load_report_at_ = now + interval;
  SendTo(duties_.others, static_cast<uint8_t>(ApplicationKind::kEndpointLoads),
         forwarding::EncodeLoadReport(context_.loads->MakeReport()));
}

void FleetController::SendCrashes() {
  const core::TimePoint now = context_.loop->Now();
  const routing::QuarantineDelta delta = context_.quarantine->TakeDelta(now);
  for (const routing::CrashRecord& it : delta.crashes) {
    // One record a datagram, and no more suspects than fit.
    routing::CrashRecord record = it;
    record.digests.resize(std::min(record.digests.size(), kMaxSuspects));
    record.cleared.resize(std::min(record.cleared.size(), kMaxSuspects));
    crash_news_.push_back(
        {.body = core::Encode(routing::QuarantineDelta{.crashes = {record}}),
         .remaining_sends = kCrashSends,
         .next_at = now});
  }
  for (CrashNews& it : crash_news_) {
    if (now < it.next_at) {
      continue;
    }
    SendTo(duties_.others, static_cast<uint8_t>(ApplicationKind::kCrashes),
           it.body);
    --it.remaining_sends;
    it.next_at = now + kCrashSendInterval;
  }
  std::erase_if(crash_news_,
                [](const CrashNews& it) { return it.remaining_sends <= 0; });
}

absl::Status FleetController::OnCrashes(std::string_view body) {
  TRY_ASSIGN(const routing::QuarantineDelta delta,
             core::Decode<routing::QuarantineDelta>(body));
  // What others told is theirs to repeat, so it must not look like own news.
  SendCrashes();
  context_.quarantine->Merge(delta, context_.loop->Now());
  context_.quarantine->TakeDelta(context_.loop->Now());
  return absl::OkStatus();
}

absl::Status FleetController::OnTopicReport(const Member& from,
                                            std::string_view body) {
  TRY_ASSIGN(const forwarding::TopicReport report,
             core::Decode<forwarding::TopicReport>(body));
  for (const RelayedTopic& it : topics_) {
    if (it.relay->topic() != report.topic) {
      continue;
    }
    const bool is_current = forwarding::ApplyTopicReport(report, it.view);
    if (!is_current &&
        (report.next > it.view->next() || !it.view->is_loaded())) {
      FetchCopy(from, it);
    }
  }
  return absl::OkStatus();
}

void FleetController::FetchCopy(const Member& from, const RelayedTopic& topic) {
  const uint8_t number = topic.relay->topic();
  const core::TimePoint now = context_.loop->Now();
  if (now < next_copy_at_[number] || !fetching_.insert(number).second) {
    return;
  }
  next_copy_at_[number] = now + kCopyInterval;
  http::ClientRequest request;
  request.address = from.link_address;
  request.target = fmt::format("/v1/topics/{}", number);
  request.total_timeout = kCopyTimeout;
  context_.client->Fetch(
      request, [this, number, view = topic.view](
                   const absl::StatusOr<http::ClientResponse>& response) {
        fetching_.erase(number);
        const auto copy = DecodeCopy(response);
        if (copy.ok()) {
          forwarding::ApplyTopicCopy(*copy, view);
          return;
        }
        context_.events->Record(core::EventCode::kPlatformDown, "",
                                fmt::format("topic={} no copy: {}", number,
                                            core::MessageOf(copy.status())));
        view->RefreshIfOlder(core::Duration::zero(), core::Duration::zero());
      });
}

absl::Status FleetController::OnLoadReport(const Member& from,
                                           std::string_view body) {
  TRY_ASSIGN(const forwarding::LoadReport report,
             forwarding::DecodeLoadReport(body));
  context_.loads->ApplyReport(from.id, report, context_.loop->Now());
  return absl::OkStatus();
}

void FleetController::SendTo(const std::vector<core::HostId>& hosts,
                             uint8_t kind,
                             std::string_view body) {
  for (const core::HostId& it : hosts) {
    // Reports repeat, so one that can't be sent is made up for by the next.
    gossip_->SendApplication(it, kind, body).IgnoreError();
  }
}

}  // namespace wasabi::forwarder
