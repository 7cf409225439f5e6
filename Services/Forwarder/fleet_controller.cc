#include "Services/Forwarder/fleet_controller.h"

#include <algorithm>
#include <utility>

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
// Callers in a data centre with fewer serving hosts than this receive the
// addresses of the whole fleet.
constexpr size_t kMinServingHosts = 2;
// Share of a host's link that it uses for totals of the fleet's load.
constexpr double kLoadTotalLinkShare = 0.08;
constexpr double kBytesPerMegabit = 125'000;

bool IsUp(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

bool AcceptsRequests(const Member& member) {
  return IsUp(member) && member.applied_offset >= 0;
}

std::vector<core::HostId> RunningHosts(const membership::MemberTable& table) {
  std::vector<core::HostId> hosts;
  for (const Member& it : table.members()) {
    if (IsUp(it)) {
      hosts.push_back(it.id);
    }
  }
  return hosts;
}

std::vector<forwarding::Carrier> CarriersOf(
    const membership::MemberTable& table,
    const core::HostId& self) {
  std::vector<forwarding::Carrier> carriers;
  for (const Member& it : table.members()) {
    if (it.id != self && it.state == MemberState::kAlive &&
        AcceptsRequests(it)) {
      carriers.push_back({.host = it.id,
                          .address = it.link_address,
                          .data_centre = it.data_centre});
    }
  }
  return carriers;
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
                                         kLoadTotalLinkShare,
                      .first_sequence = core::FirstShortMessageNumber()},
                     context.loads,
                     SendFunction()),
      crash_exchange_(settings.host, context.suspects, SendFunction()),
      crash_sync_(context.suspects,
                  core::ProcessSeed(settings.host.Hash()),
                  SendFunction()),
      stream_origins_(settings.host, SendFunction()),
      permits_(settings.host, SendFunction(), core::FirstMessageNumber()),
      places_(
          settings.host,
          [loads = context.loads](uint64_t endpoint) {
            return loads->OwnLoad(endpoint);
          },
          SendFunction(),
          core::FirstMessageNumber()),
      origins_({.adapters = context.adapters,
                .scheduler = context.scheduler,
                .events = context.events,
                .endpoints = context.endpoints,
                .history = context.origin_history,
                .certainty = context.origin_certainty},
               settings,
               core::ProcessSeed(settings.host.Hash()),
               SendFunction()),
      pool_slots_(
          settings.host,
          [loads = context.loads](uint64_t endpoint) {
            return loads->OwnLoad(endpoint);
          },
          SendFunction(),
          core::FirstMessageNumber()),
      pace_exchange_(settings.host, context.paces, SendFunction()),
      crash_records_({.adapters = context.adapters,
                      .scheduler = context.scheduler,
                      .events = context.events,
                      .suspects = context.suspects},
                     settings.is_first_start),
      fleet_topic_(context.adapters,
                   context.scheduler,
                   context.events,
                   settings,
                   core::ProcessSeed(settings.host.Hash())),
      topics_({.scheduler = context.scheduler,
               .events = context.events,
               .client = context.client,
               .fleet_topic = &fleet_topic_},
              settings,
              SendFunction()) {}

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
  fleet_topic_.SetObserver([this]() {
    gossip_->SetSeeds(fleet_topic_.addresses());
    are_roles_stale_ = true;
  });
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
           return topics_.OnReport(from, body);
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
           return crash_exchange_.OnReport(body, context_.loop->Now());
         });
  handle(ApplicationKind::kCrashSync,
         [this](const Member& from, std::string_view body) {
           return crash_sync_.OnMessage(from.id, body, context_.loop->Now());
         });
  handle(ApplicationKind::kStreamOrigins,
         [this](const Member& /*from*/, std::string_view body) {
           return stream_origins_.OnReport(body, context_.loop->Now());
         });
  handle(ApplicationKind::kStreamOriginQuery,
         [this](const Member& from, std::string_view body) {
           return stream_origins_.OnQuery(from.id, body);
         });
  handle(ApplicationKind::kStreamOriginAnswer,
         [this](const Member& from, std::string_view body) {
           return stream_origins_.OnAnswer(from.id, body, context_.loop->Now());
         });
  handle(ApplicationKind::kOriginsToRecord,
         [this](const Member& from, std::string_view body) {
           return origins_.recorder().OnRequest(from.id, body);
         });
  handle(ApplicationKind::kOriginsRecorded,
         [this](const Member& /*from*/, std::string_view body) {
           return origins_.reporter().OnRecorded(body);
         });
  handle(ApplicationKind::kStoredOriginQuery, [this](const Member& from,
                                                     std::string_view body) {
    return origins_.stored().OnQuery(from.id, body, context_.loop->Now());
  });
  handle(ApplicationKind::kStoredOriginAnswer, [this](const Member& from,
                                                      std::string_view body) {
    return origins_.stored().OnAnswer(from.id, body, context_.loop->Now());
  });
  SetGrantHandlers();
}

void FleetController::SetGrantHandlers() {
  const auto handle = [this](ApplicationKind kind, auto handler) {
    gossip_->SetApplicationHandler(static_cast<uint8_t>(kind), handler);
  };
  handle(ApplicationKind::kEndpointLimits,
         [this](const Member& /*from*/, std::string_view body) {
           return permits_.OnReports(body, context_.loop->Now());
         });
  handle(ApplicationKind::kColdEndpoints,
         [this](const Member& /*from*/, std::string_view body) {
           return permits_.OnColdReports(body, context_.loop->Now());
         });
  handle(ApplicationKind::kPermitQuestion,
         [this](const Member& from, std::string_view body) {
           return permits_.OnQuestion(from.id, body, context_.loop->Now());
         });
  handle(ApplicationKind::kPermitAnswer,
         [this](const Member& from, std::string_view body) {
           return permits_.OnAnswer(from.id, body, context_.loop->Now());
         });
  handle(ApplicationKind::kBrittleEndpoints,
         [this](const Member& /*from*/, std::string_view body) {
           return places_.OnNews(body, context_.loop->Now());
         });
  handle(ApplicationKind::kBrittleQuestion,
         [this](const Member& from, std::string_view /*body*/) {
           return places_.OnNewsQuestion(from.id, context_.loop->Now());
         });
  handle(ApplicationKind::kPlaceQuestion,
         [this](const Member& from, std::string_view body) {
           return places_.OnQuestion(from.id, body, context_.loop->Now());
         });
  handle(ApplicationKind::kPlaceAnswer,
         [this](const Member& from, std::string_view body) {
           return places_.OnAnswer(from.id, body, context_.loop->Now());
         });
  handle(ApplicationKind::kPlaceReport,
         [this](const Member& from, std::string_view body) {
           return places_.OnReport(from.id, body, context_.loop->Now());
         });
  handle(ApplicationKind::kPoolSlotQuestion,
         [this](const Member& from, std::string_view body) {
           return pool_slots_.OnQuestion(from.id, body, context_.loop->Now());
         });
  handle(ApplicationKind::kPoolSlotAnswer,
         [this](const Member& from, std::string_view body) {
           return pool_slots_.OnAnswer(from.id, body, context_.loop->Now());
         });
  handle(ApplicationKind::kPoolSlotReport,
         [this](const Member& from, std::string_view body) {
           return pool_slots_.OnReport(from.id, body, context_.loop->Now());
         });
  handle(ApplicationKind::kEndpointPaces,
         [this](const Member& from, std::string_view body) {
           return pace_exchange_.OnReports(from.id, body, context_.loop->Now());
         });
}

void FleetController::UpdateRoles() {
  if (!are_roles_stale_) {
    return;
  }
  are_roles_stale_ = false;
  const membership::MemberTableSnapshot table = gossip_->table();
  const FleetRoles roles =
      DeriveRoles(*table, settings_.host, settings_.data_centre);
  topics_.SetRoles(roles);
  const forwarding::ReportPeers peers =
      DeriveReportPeers(*table, settings_.host, settings_.data_centre);
  load_exchange_.SetPeers(peers);
  crash_exchange_.SetPeers(peers);
  crash_sync_.SetHosts(peers.fleet);
  permits_.SetPeers(peers);
  places_.SetPeers(peers);
  pace_exchange_.SetPeers(peers);
  const std::vector<core::HostId> running = RunningHosts(*table);
  stream_origins_.SetHosts(running);
  origins_.SetHosts(running, fleet_topic_.hosts(), roles);
  crash_records_.SetHosts(fleet_topic_.hosts().size(), roles);
  permits_.SetHosts(running, host_count());
  places_.SetHosts(running, host_count(), context_.loop->Now());
  pool_slots_.SetHosts(running);
  context_.carriers->SetCarriers(CarriersOf(*table, settings_.host));
}

void FleetController::AnnounceReady() {
  constexpr int64_t kReadyOffset = 0;
  gossip_->SetAppliedOffset(kReadyOffset);
}

void FleetController::AnnounceLeaving() {
  gossip_->AnnounceLeaving();
}

void FleetController::SetTopics(std::vector<RelayedTopic> topics) {
  topics.push_back({.view = fleet_topic_.view(),
                    .relay = fleet_topic_.relay(),
                    .is_urgent = false});
  topics_.SetTopics(std::move(topics));
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
  fleet_topic_.Tick(topics_.LatestEpoch());
  topics_.Tick();
  load_exchange_.Tick(context_.loop->Now());
  crash_exchange_.Tick(context_.loop->Now());
  crash_sync_.Tick(context_.loop->Now());
  stream_origins_.Tick(context_.loop->Now());
  origins_.Tick(topics_.LatestEpoch());
  crash_records_.Tick(topics_.LatestEpoch());
  permits_.Tick(context_.loop->Now());
  places_.Tick(context_.loop->Now());
  pool_slots_.Tick(context_.loop->Now());
  pace_exchange_.Tick(context_.loop->Now());
}

TopicController::SendFunction FleetController::SendFunction() {
  return [this](const std::vector<core::HostId>& to, ApplicationKind kind,
                std::string_view body) { SendTo(to, kind, body); };
}

void FleetController::SendTo(const std::vector<core::HostId>& hosts,
                             ApplicationKind kind,
                             std::string_view body) {
  for (const core::HostId& it : hosts) {
    // Reports are sent repeatedly, so a later one makes up for a failed send.
    gossip_->SendApplication(it, static_cast<uint8_t>(kind), body)
        .IgnoreError();
  }
}

}  // namespace wasabi::forwarder
