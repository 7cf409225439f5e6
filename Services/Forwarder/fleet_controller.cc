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
// Long-poll time of a read from the platform. It is shorter than the view age
// at which other hosts fall back to reading the platform themselves.
constexpr core::Duration kLongPollWait = core::milliseconds(500);
// Report intervals in a small fleet. In a large fleet the intervals grow, so
// that a host sends no more than the maximum bytes per second below. A topic
// report with changes is sent immediately.
constexpr core::Duration kMinTopicReportInterval = core::milliseconds(200);
constexpr core::Duration kMinLoadReportInterval = core::milliseconds(100);
constexpr double kMaxTopicReportBytesPerSecond = 5000;
constexpr double kMaxLoadReportBytesPerSecond = 9000;
// Typical bytes of a report with its headers: for one topic without changes,
// and for the endpoint loads.
constexpr double kTopicReportBytes = 60;
constexpr double kLoadReportBytes = 85;
// A host reads the platform itself when its view is older than a share of the
// smaller of the bounds on leaving endpoints and configurations. The share
// grows with the reader rank, so that the next readers take over first. It
// leaves every host time for a second attempt within the bound.
constexpr double kFirstFallbackShare = 0.5;
constexpr double kFallbackShareStep = 0.05;
constexpr size_t kMaxFallbackSteps = 3;
// Only hosts with a reader rank below this relay the records that they read.
constexpr size_t kActingReaderRanks = 3;
// Maximum retry backoff while the platform does not respond. The first hosts in
// the order of readers retry often and inform the other hosts when the platform
// is back. The other hosts retry as well, because the platform may be rejecting
// only those readers, but rarely, so that a large fleet does not overload it.
constexpr core::Duration kReaderMaxBackoff = core::milliseconds(400);
constexpr core::Duration kNonReaderMaxBackoff = core::seconds(2);
// The fleet topic lists the gossip addresses of the hosts. Only a host that
// knows no other host needs it quickly.
constexpr core::Duration kFleetTopicMaxAge = core::seconds(120);
constexpr core::Duration kFleetTopicRetryInterval = core::milliseconds(500);
constexpr core::Duration kRegistrationRetryInterval = core::milliseconds(500);
// The hosts register again within this time after the platform was restored. It
// spreads the appends of a large fleet, which the platform makes one by one.
constexpr core::Duration kReregistrationSpread = core::seconds(3);
constexpr core::Duration kCopyTimeout = core::milliseconds(400);
// Minimum time between two fetches of a topic's copy. Configurations that
// change in quick succession are fetched together.
constexpr core::Duration kMinFetchInterval = core::milliseconds(300);
// Maximum size of a decompressed copy.
constexpr size_t kMaxCopyBytes = 16U << 20U;
// Maximum number of suspect requests of one crash that fit in a datagram.
constexpr size_t kMaxSuspectsPerReport = 60;
constexpr int kCrashReportSends = 3;
constexpr core::Duration kCrashReportSendInterval = core::milliseconds(200);
// Callers in a data centre with fewer serving hosts than this receive the
// addresses of the whole fleet.
constexpr size_t kMinServingHosts = 2;
// A host's load report expires after this many report intervals.
constexpr int kLoadReportExpiryIntervals = 4;

core::Duration ReportInterval(core::Duration minimum,
                              double bytes,
                              size_t receivers,
                              double rate) {
  const double seconds = static_cast<double>(receivers) * bytes / rate;
  return std::max(minimum, core::FromSeconds(seconds));
}

absl::StatusOr<forwarding::TopicSnapshot> DecodeCopy(
    const absl::StatusOr<http::ClientResponse>& response) {
  if (!response.ok()) {
    return response.status();
  }
  TRY_ASSIGN(const std::string body,
             core::Decompress(response->body, kMaxCopyBytes));
  return core::Decode<forwarding::TopicSnapshot>(body);
}

bool AcceptsRequests(const Member& member) {
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
    : context_(context),
      settings_(settings),
      random_(core::ProcessSeed(settings.host.Hash())) {}

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
  gossip_->OnChange([this](const membership::MemberTableSnapshot& table) {
    roles_ = DeriveRoles(*table, settings_.host, settings_.data_centre);
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
        return OnCrashReport(body);
      });
  roles_ =
      DeriveRoles(*gossip_->table(), settings_.host, settings_.data_centre);
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
          forwarding::MakeTopicSnapshot(*it.view, context_.loop->Now())));
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

std::vector<core::SocketAddress> FleetController::ServingAddresses(
    const core::DataCentreId& data_centre) const {
  std::vector<core::SocketAddress> near;
  std::vector<core::SocketAddress> all;
  const membership::MemberTableSnapshot table = gossip_->table();
  for (const Member& it : table->members()) {
    if (!AcceptsRequests(it)) {
      continue;
    }
    all.push_back(it.http_address);
    if (it.data_centre == data_centre) {
      near.push_back(it.http_address);
    }
  }
  return near.size() >= kMinServingHosts ? near : all;
}

size_t FleetController::host_count() const {
  return std::max(gossip_->table()->members().size(), seeds_.size() + 1);
}

core::Duration FleetController::load_report_interval() const {
  return ReportInterval(kMinLoadReportInterval, kLoadReportBytes,
                        roles_.others.size(), kMaxLoadReportBytesPerSecond);
}

void FleetController::Register() {
  const core::TimePoint now = context_.loop->Now();
  if (is_registered_ || is_registering_ || now < next_registration_at_) {
    return;
  }
  is_registering_ = true;
  next_registration_at_ = now + kRegistrationRetryInterval;
  context_.adapters->topics->Put(
      context_.adapters->names.fleet, settings_.host.value(),
      settings_.gossip_address.ToString(),
      [this](const absl::StatusOr<platform::LogEpoch>& written) {
        OnRegistered(written);
      });
}

void FleetController::OnRegistered(
    const absl::StatusOr<platform::LogEpoch>& written) {
  is_registering_ = false;
  is_registered_ = written.ok();
  if (!written.ok()) {
    context_.events->Record(
        core::EventCode::kPlatformDown, "",
        "topic=fleet error=" + core::MessageOf(written.status()));
    return;
  }
  registered_epoch_ = *written;
}

void FleetController::CheckRegistration() {
  for (const RelayedTopic& it : topics_) {
    if (!is_registered_ || it.view->epoch() <= registered_epoch_) {
      continue;
    }
    is_registered_ = false;
    registered_epoch_ = it.view->epoch();
    next_registration_at_ =
        context_.loop->Now() +
        core::FromSeconds(core::ToSeconds(kReregistrationSpread) *
                          random_.Unit());
  }
}

void FleetController::Tick() {
  CheckRegistration();
  Register();
  RefreshTopics();
  SendTopicReports();
  SendLoadReport();
  SendCrashReports();
}

core::Duration FleetController::FallbackAge() const {
  const size_t steps = std::min(roles_.reader_rank, kMaxFallbackSteps);
  const double share =
      kFirstFallbackShare + kFallbackShareStep * static_cast<double>(steps);
  const core::Duration bound =
      std::min(settings_.leaving_bound, settings_.configuration_bound);
  return core::FromSeconds(core::ToSeconds(bound) * share);
}

bool FleetController::IsActingReader(const RelayedTopic& topic) const {
  const core::Duration since_read =
      context_.loop->Now() - topic.view->read_at();
  return roles_.reader_rank == 0 || (roles_.reader_rank < kActingReaderRanks &&
                                     since_read < 2 * FallbackAge());
}

void FleetController::RefreshTopics() {
  for (const RelayedTopic& it : topics_) {
    it.view->SetMaximumBackoff(roles_.reader_rank < kActingReaderRanks
                                   ? kReaderMaxBackoff
                                   : kNonReaderMaxBackoff);
    if (roles_.reader_rank == 0) {
      it.view->RefreshIfStale(core::Duration::zero(), kLongPollWait);
    } else {
      it.view->RefreshIfStale(FallbackAge(), core::Duration::zero());
    }
  }
  fleet_topic_->RefreshIfStale(
      roles_.others.empty() ? kFleetTopicRetryInterval : kFleetTopicMaxAge,
      core::Duration::zero());
}

void FleetController::SendTopicReports() {
  const core::TimePoint now = context_.loop->Now();
  const bool is_due = now >= next_topic_report_at_;
  for (const RelayedTopic& it : topics_) {
    const bool is_wanted = is_due || it.relay->has_updates();
    const bool is_reader = IsActingReader(it);
    if (!it.view->is_loaded() || !is_wanted ||
        (!is_reader && !roles_.is_relay)) {
      continue;
    }
    const std::string body = core::Encode(it.relay->MakeReport(*it.view, now));
    constexpr auto kKind = static_cast<uint8_t>(ApplicationKind::kTopicReport);
    if (is_reader) {
      SendTo(roles_.report_relays, kKind, body);
    }
    if (roles_.is_relay) {
      SendTo(roles_.data_centre_peers, kKind, body);
    }
  }
  if (is_due) {
    const size_t receivers =
        roles_.report_relays.size() + roles_.data_centre_peers.size();
    next_topic_report_at_ =
        now +
        ReportInterval(kMinTopicReportInterval,
                       kTopicReportBytes * static_cast<double>(topics_.size()),
                       receivers, kMaxTopicReportBytesPerSecond);
  }
}

void FleetController::SendLoadReport() {
  const core::TimePoint now = context_.loop->Now();
  const core::Duration interval = load_report_interval();
  context_.loads->Expire(interval * kLoadReportExpiryIntervals, now);
  if (now < next_load_report_at_) {
    return;
  }
  next_load_report_at_ = now + interval;
  SendTo(roles_.others, static_cast<uint8_t>(ApplicationKind::kEndpointLoads),
         forwarding::EncodeLoadReport(context_.loads->MakeReport()));
}

void FleetController::SendCrashReports() {
  const core::TimePoint now = context_.loop->Now();
  const routing::QuarantineDelta delta = context_.quarantine->TakeDelta(now);
  for (const routing::CrashRecord& it : delta.crashes) {
    // Each datagram carries one crash record, truncated to the suspects that
    // fit.
    routing::CrashRecord record = it;
    record.digests.resize(
        std::min(record.digests.size(), kMaxSuspectsPerReport));
    record.cleared.resize(
        std::min(record.cleared.size(), kMaxSuspectsPerReport));
    pending_crash_reports_.push_back(
        {.body = core::Encode(routing::QuarantineDelta{.crashes = {record}}),
         .remaining_sends = kCrashReportSends,
         .next_send_at = now});
  }
  for (CrashReport& it : pending_crash_reports_) {
    if (now < it.next_send_at) {
      continue;
    }
    SendTo(roles_.others, static_cast<uint8_t>(ApplicationKind::kCrashes),
           it.body);
    --it.remaining_sends;
    it.next_send_at = now + kCrashReportSendInterval;
  }
  std::erase_if(pending_crash_reports_,
                [](const CrashReport& it) { return it.remaining_sends <= 0; });
}

absl::Status FleetController::OnCrashReport(std::string_view body) {
  TRY_ASSIGN(const routing::QuarantineDelta delta,
             core::Decode<routing::QuarantineDelta>(body));
  // The sender repeats its own crash reports, so this host must not send them
  // again. Pending local changes are sent first; the delta that the merge
  // creates is then discarded.
  SendCrashReports();
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
    const bool has_newer = report.epoch > it.view->epoch() ||
                           report.next > it.view->next() ||
                           !it.view->is_loaded();
    if (!is_current && has_newer) {
      FetchCopy(from, it);
    }
  }
  return absl::OkStatus();
}

void FleetController::FetchCopy(const Member& from, const RelayedTopic& topic) {
  const uint8_t number = topic.relay->topic();
  const core::TimePoint now = context_.loop->Now();
  if (now < next_fetch_at_[number] ||
      !fetches_in_flight_.insert(number).second) {
    return;
  }
  next_fetch_at_[number] = now + kMinFetchInterval;
  http::ClientRequest request;
  request.address = from.link_address;
  request.target = fmt::format("/v1/topics/{}", number);
  request.total_timeout = kCopyTimeout;
  context_.client->Fetch(
      request, [this, number, view = topic.view](
                   const absl::StatusOr<http::ClientResponse>& response) {
        fetches_in_flight_.erase(number);
        const auto copy = DecodeCopy(response);
        if (copy.ok()) {
          forwarding::ApplyTopicSnapshot(*copy, view);
          return;
        }
        context_.events->Record(core::EventCode::kPlatformDown, "",
                                fmt::format("topic={} no copy: {}", number,
                                            core::MessageOf(copy.status())));
        view->RefreshIfStale(core::Duration::zero(), core::Duration::zero());
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
    // Reports are sent repeatedly, so a later one makes up for a failed send.
    gossip_->SendApplication(it, kind, body).IgnoreError();
  }
}

}  // namespace wasabi::forwarder
