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
// Interval of topic reports in a small fleet. In a large fleet it grows, so
// that a relay sends no more than the maximum bytes per second below. It stays
// well under the view age at which the receivers read the platform themselves,
// also when a report is lost. A report with changes is sent immediately.
constexpr core::Duration kMinTopicReportInterval = core::milliseconds(200);
constexpr double kMaxTopicReportBytesPerSecond = 20'000;
// Typical bytes of a report on one topic without changes, with its headers.
constexpr double kTopicReportBytes = 60;
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
// Long-poll time and view age for topics that are not urgent.
constexpr core::Duration kLongPollWaitNotUrgent = core::seconds(2);
constexpr core::Duration kFallbackAgeNotUrgent = core::seconds(6);
// A host that starts gives the others time to send it copies of the topics
// before it reads the platform itself. The time grows with the fleet, and each
// host waits for a random share of it, so that hundreds of hosts that start
// together don't all read the platform.
struct StartPatience {
  // Time until the host reads the addresses of the fleet.
  core::Duration until_fleet_is_read{};
  // Time after that for copies of the other topics.
  core::Duration per_host{};
  core::Duration maximum{};
};
constexpr StartPatience kRestart = {.per_host = core::milliseconds(5),
                                    .maximum = core::milliseconds(1500)};
// When the fleet starts for the first time, no caller waits. The host first
// lets the others register.
constexpr StartPatience kFirstStart = {.until_fleet_is_read = core::seconds(2),
                                       .per_host = core::milliseconds(12),
                                       .maximum = core::seconds(4)};
constexpr double kMinPatienceShare = 0.5;
constexpr core::Duration kCallsRecordPeriod = core::seconds(10);
constexpr core::Duration kCopyTimeout = core::milliseconds(800);
// Minimum time between two fetches of a topic's copy. Configurations that
// change in quick succession are fetched together.
constexpr core::Duration kMinFetchInterval = core::milliseconds(300);
constexpr core::Duration kMinFetchIntervalNotUrgent = core::seconds(1);
// A fetch starts after a random delay of up to this time for each host of the
// data centre.
constexpr core::Duration kFetchSpreadPerPeer = core::milliseconds(5);
// Time for which an encoded copy is served again while its topic is unchanged.
constexpr core::Duration kCopyCacheTime = core::milliseconds(100);
// Maximum size of a decompressed copy.
constexpr size_t kMaxCopyBytes = 16U << 20U;
// Maximum number of suspect requests of one crash that fit in a datagram.
constexpr size_t kMaxSuspectsPerReport = 60;
constexpr int kCrashReportSends = 3;
constexpr core::Duration kCrashReportSendInterval = core::milliseconds(200);
// Callers in a data centre with fewer serving hosts than this receive the
// addresses of the whole fleet.
constexpr size_t kMinServingHosts = 2;
// Share of a host's link that it uses for totals of the fleet's load.
constexpr double kLoadTotalLinkShare = 0.08;
constexpr double kBytesPerMegabit = 125'000;

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
      load_exchange_({.self = settings.host,
                      .aggregator_rate = settings.link_mbps * kBytesPerMegabit *
                                         kLoadTotalLinkShare},
                     context.loads,
                     [this](const std::vector<core::HostId>& to,
                            ApplicationKind kind,
                            std::string_view body) {
                       SendTo(to, static_cast<uint8_t>(kind), body);
                     }),
      random_(core::ProcessSeed(settings.host.Hash())),
      fleet_topic_(context.adapters,
                   context.scheduler,
                   context.events,
                   settings,
                   random_.Next()),
      started_at_(context.loop->Now()),
      patience_share_(kMinPatienceShare +
                      (1 - kMinPatienceShare) * random_.Unit()) {}

FleetController::~FleetController() = default;

absl::Status FleetController::Start() {
  membership::GossipOptions options;
  options.self.id = settings_.host;
  options.self.data_centre = settings_.data_centre;
  options.self.gossip_address = settings_.gossip_address;
  options.self.link_address = settings_.internal_address;
  options.self.http_address = settings_.callers_address;
  options.self.link_mbps = static_cast<uint32_t>(settings_.link_mbps);
  TRY_ASSIGN(gossip_,
             membership::GossipNode::Create(
                 context_.loop, options,
                 core::ProcessSeed(settings_.host.Hash()), context_.events));
  // A fleet that starts changes the table hundreds of times a second, so the
  // roles follow at the next tick.
  gossip_->OnChange([this](const membership::MemberTableSnapshot& /*table*/) {
    are_roles_stale_ = true;
  });
  SetApplicationHandlers();
  gossip_->SetSeeds(fleet_topic_.addresses());
  fleet_topic_.SetObserver(
      [this]() { gossip_->SetSeeds(fleet_topic_.addresses()); });
  ticker_ = context_.loop->NewTimer([this]() { Tick(); });
  ticker_->StartRepeating(kTick);
  return absl::OkStatus();
}

void FleetController::SetApplicationHandlers() {
  const auto handle = [this](ApplicationKind kind, auto handler) {
    gossip_->SetApplicationHandler(static_cast<uint8_t>(kind), handler);
  };
  handle(ApplicationKind::kTopicReport,
         [this](const Member& from, std::string_view body) {
           return OnTopicReport(from, body);
         });
  handle(ApplicationKind::kEndpointLoads,
         [this](const Member& from, std::string_view body) {
           return load_exchange_.OnReport(from, body, context_.loop->Now());
         });
  handle(ApplicationKind::kEndpointLoadSums,
         [this](const Member& from, std::string_view body) {
           return load_exchange_.OnSums(from, body, context_.loop->Now());
         });
  handle(ApplicationKind::kEndpointLoadTotal,
         [this](const Member& from, std::string_view body) {
           return load_exchange_.OnTotal(from, body, context_.loop->Now());
         });
  handle(ApplicationKind::kCrashes,
         [this](const Member& /*from*/, std::string_view body) {
           return OnCrashReport(body);
         });
}

void FleetController::UpdateRoles() {
  if (!are_roles_stale_) {
    return;
  }
  are_roles_stale_ = false;
  const membership::MemberTableSnapshot table = gossip_->table();
  roles_ = DeriveRoles(*table, settings_.host, settings_.data_centre);
  load_exchange_.SetPeers(
      DeriveLoadPeers(*table, settings_.host, settings_.data_centre));
}

void FleetController::SetTopics(std::vector<RelayedTopic> topics) {
  topics_ = std::move(topics);
  topics_.push_back({.view = fleet_topic_.view(),
                     .relay = fleet_topic_.relay(),
                     .is_urgent = false});
}

std::string FleetController::EncodedCopy(uint8_t topic) {
  const core::TimePoint now = context_.loop->Now();
  for (const RelayedTopic& it : topics_) {
    if (it.relay->topic() != topic || !it.view->is_loaded()) {
      continue;
    }
    CachedCopy& cached = copies_[topic];
    const bool is_current =
        cached.next == it.view->next() && cached.epoch == it.view->epoch();
    if (!is_current || now - cached.encoded_at > kCopyCacheTime) {
      // The age is right at the end of the time in the cache.
      const auto snapshot =
          forwarding::MakeTopicSnapshot(*it.view, now + kCopyCacheTime);
      cached = {.body = core::Compress(core::Encode(snapshot)),
                .next = it.view->next(),
                .epoch = it.view->epoch(),
                .encoded_at = now};
    }
    return cached.body;
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
  return std::max(gossip_->table()->members().size(),
                  fleet_topic_.addresses().size() + 1);
}

void FleetController::Tick() {
  UpdateRoles();
  platform::LogEpoch epoch = 0;
  for (const RelayedTopic& it : topics_) {
    epoch = std::max(epoch, it.view->epoch());
  }
  fleet_topic_.Tick(epoch);
  RefreshTopics();
  StartDueFetches();
  SendTopicReports();
  load_exchange_.Tick(context_.loop->Now());
  SendCrashReports();
  RecordPlatformCalls();
}

uint64_t FleetController::platform_calls() const {
  const auto calls_of = [](const platform::TopicView& view) {
    return view.calls().snapshot_reads + view.calls().tail_reads;
  };
  uint64_t calls = fleet_topic_.writes();
  for (const RelayedTopic& it : topics_) {
    calls += calls_of(*it.view);
  }
  return calls;
}

void FleetController::RecordPlatformCalls() {
  if (context_.loop->Now() < next_calls_record_at_) {
    return;
  }
  next_calls_record_at_ = context_.loop->Now() + kCallsRecordPeriod;
  const auto describe = [](const platform::TopicView& view) {
    return fmt::format(" {}={}+{}", view.topic(), view.calls().snapshot_reads,
                       view.calls().tail_reads);
  };
  std::string calls = fmt::format("writes={}", fleet_topic_.writes());
  for (const RelayedTopic& it : topics_) {
    calls += describe(*it.view);
  }
  if (calls != recorded_calls_) {
    recorded_calls_ = calls;
    context_.events->Record(
        core::EventCode::kPlatformCalls, "",
        fmt::format("{} reader_rank={} is_relay={} members={}", calls,
                    roles_.reader_rank, roles_.is_relay, roles_.others.size()));
  }
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
  if (fleet_topic_loaded_at_ == core::TimePoint() &&
      fleet_topic_.view()->is_loaded()) {
    fleet_topic_loaded_at_ = context_.loop->Now();
  }
  for (const RelayedTopic& it : topics_) {
    it.view->SetMaximumBackoff(roles_.reader_rank < kActingReaderRanks
                                   ? kReaderMaxBackoff
                                   : kNonReaderMaxBackoff);
    if (!MayRead(it)) {
      continue;
    }
    if (IsReader()) {
      it.view->RefreshIfStale(
          core::Duration::zero(),
          it.is_urgent ? kLongPollWait : kLongPollWaitNotUrgent);
    } else {
      it.view->RefreshIfStale(
          it.is_urgent ? FallbackAge() : kFallbackAgeNotUrgent,
          core::Duration::zero());
    }
  }
}

bool FleetController::IsReader() const {
  if (roles_.reader_rank != 0) {
    return false;
  }
  // A host that has just started takes itself for the first of the few hosts
  // that it knows.
  const size_t registered_hosts = fleet_topic_.addresses().size();
  return fleet_topic_.view()->is_loaded() &&
         2 * roles_.others.size() >= registered_hosts;
}

bool FleetController::MayRead(const RelayedTopic& topic) const {
  if (topic.view->is_loaded()) {
    return true;
  }
  const core::TimePoint now = context_.loop->Now();
  const StartPatience& patience =
      settings_.is_first_start ? kFirstStart : kRestart;
  if (!topic.is_urgent) {
    return now - started_at_ >= ShareOf(patience.until_fleet_is_read);
  }
  if (!fleet_topic_.view()->is_loaded()) {
    return now - started_at_ >=
           ShareOf(patience.until_fleet_is_read + patience.maximum);
  }
  const auto hosts = static_cast<int64_t>(fleet_topic_.addresses().size());
  const core::Duration wait =
      std::min<core::Duration>(patience.maximum, patience.per_host * hosts);
  return IsReader() || now - fleet_topic_loaded_at_ >= ShareOf(wait);
}

core::Duration FleetController::ShareOf(core::Duration patience) const {
  return core::FromSeconds(core::ToSeconds(patience) * patience_share_);
}

void FleetController::SendTopicReports() {
  const core::TimePoint now = context_.loop->Now();
  const bool is_relay_due = now >= next_report_to_relays_at_;
  const bool is_peer_due = now >= next_report_to_peers_at_;
  for (const RelayedTopic& it : topics_) {
    const bool has_updates = it.is_urgent && it.relay->has_updates();
    const bool goes_to_relays =
        IsActingReader(it) && (is_relay_due || has_updates);
    const bool goes_to_peers = roles_.is_relay && (is_peer_due || has_updates);
    if (!it.view->is_loaded() || (!goes_to_relays && !goes_to_peers)) {
      continue;
    }
    const std::string body = core::Encode(it.relay->MakeReport(*it.view, now));
    constexpr auto kKind = static_cast<uint8_t>(ApplicationKind::kTopicReport);
    if (goes_to_relays) {
      SendTo(roles_.report_relays, kKind, body);
    }
    if (goes_to_peers) {
      SendTo(roles_.data_centre_peers, kKind, body);
    }
  }
  if (is_relay_due) {
    next_report_to_relays_at_ =
        now + TopicReportInterval(roles_.report_relays.size());
  }
  if (is_peer_due) {
    next_report_to_peers_at_ =
        now + TopicReportInterval(roles_.data_centre_peers.size());
  }
}

core::Duration FleetController::TopicReportInterval(size_t receivers) const {
  const double bytes = kTopicReportBytes * static_cast<double>(topics_.size()) *
                       static_cast<double>(receivers);
  return std::max(kMinTopicReportInterval,
                  core::FromSeconds(bytes / kMaxTopicReportBytesPerSecond));
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
  next_fetch_at_[number] =
      now + (topic.is_urgent ? kMinFetchInterval : kMinFetchIntervalNotUrgent);
  // The neighbours of a relay hear of a change at the same moment.
  const core::Duration spread =
      kFetchSpreadPerPeer *
      static_cast<int64_t>(roles_.data_centre_peers.size());
  pending_fetches_.push_back(
      {.topic = number,
       .from = from.link_address,
       .view = topic.view,
       .due_at =
           now + core::FromSeconds(core::ToSeconds(spread) * random_.Unit())});
}

void FleetController::StartDueFetches() {
  const core::TimePoint now = context_.loop->Now();
  std::vector<PendingFetch> due;
  std::erase_if(pending_fetches_, [&](const PendingFetch& it) {
    if (it.due_at > now) {
      return false;
    }
    due.push_back(it);
    return true;
  });
  for (const PendingFetch& it : due) {
    SendFetch(it);
  }
}

void FleetController::SendFetch(const PendingFetch& fetch) {
  http::ClientRequest request;
  request.address = fetch.from;
  request.target = fmt::format("/v1/topics/{}", fetch.topic);
  request.total_timeout = kCopyTimeout;
  context_.client->Fetch(
      request, [this, number = fetch.topic, view = fetch.view](
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
        if (view->is_loaded()) {
          view->RefreshIfStale(core::Duration::zero(), core::Duration::zero());
        }
      });
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
